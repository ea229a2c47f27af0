import type {Socket} from 'node:net';

/**
 * What this host has sent on one connection. `ClientRequest.reusedSocket` does not tell:
 * it stays false if an agent hands a connection over without it being idle between.
 */
export class ConnectionRecord {
  private static readonly records = new WeakMap<Socket, ConnectionRecord>();
  private sent = 0;

  /** Record of a connection. */
  static of(socket: Socket): ConnectionRecord {
    let record = this.records.get(socket);
    if (record === undefined) {
      record = new ConnectionRecord();
      this.records.set(socket, record);
    }
    return record;
  }

  /** Records that a request is sent. @returns Number of the requests before it. */
  begin(): number {
    return this.sent++;
  }
}
