import type {Endpoint} from '../fleet/mod.ts';

/**
 * Time for which a slot is reserved for an admitted request. It is sent within a few
 * milliseconds, unless it waits for a trial of its prompt or its caller has left.
 */
const RESERVED_MILLISECONDS = 100;

interface Reservation {
  readonly endpoint: Endpoint;
  readonly until: number;
}

/** Slots of requests that are admitted and not sent yet. */
export class Reservations {
  private readonly open: Reservation[] = [];

  /** Reserves a slot until the next request to the endpoint begins. */
  add(endpoint: Endpoint, now: number): void {
    endpoint.reserved++;
    this.open.push({endpoint, until: now + RESERVED_MILLISECONDS});
  }

  /** Ends a reservation of an endpoint, whose request is sent or was given up. */
  end(endpoint: Endpoint): void {
    if (endpoint.reserved === 0) return;
    const index = this.open.findIndex(entry => entry.endpoint === endpoint);
    if (index < 0) return;
    this.open.splice(index, 1);
    endpoint.reserved--;
  }

  /** Ends the reservations of requests that were not sent in time. */
  expire(now: number): void {
    for (;;) {
      const [oldest] = this.open;
      if (oldest === undefined || oldest.until > now) return;
      this.open.shift();
      oldest.endpoint.reserved--;
    }
  }
}
