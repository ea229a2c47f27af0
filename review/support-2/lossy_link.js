/** Proxy that stands for a link, on which packets to its target can be lost. */
import {connect, createServer} from 'node:net';
import {setTimeout} from 'node:timers';

/** Time after which TCP sends a lost packet again: the minimum of Linux and a round trip. */
export const RETRANSMISSION_MILLISECONDS = 205;

export class LossyLink {
  /** @param isLost Whether a packet to the target is lost and has to be sent again. */
  constructor({target, isLost}) {
    Object.assign(this, {target, isLost});
    this.packets = 0;
    this.server = createServer({noDelay: true}, near => {
      const [host, port] = this.target.split(':');
      const far = connect({host, port: Number(port), noDelay: true});
      let heldUntil = 0;
      near.on('data', chunk => {
        this.packets++;
        const delay = this.isLost(chunk.toString('latin1'))
          ? RETRANSMISSION_MILLISECONDS
          : 0;
        // Later bytes of a connection wait for the lost ones.
        const at = Math.max(heldUntil, Date.now() + delay);
        heldUntil = at;
        if (at <= Date.now()) far.write(chunk);
        else setTimeout(() => far.write(chunk), at - Date.now());
      });
      far.on('data', chunk => near.write(chunk));
      for (const [socket, other] of [
        [near, far],
        [far, near],
      ]) {
        socket.on('end', () => other.end());
        socket.on('error', () => other.destroy());
        socket.on('close', () => other.destroy());
      }
    });
  }

  async listen(host) {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
  }
}
