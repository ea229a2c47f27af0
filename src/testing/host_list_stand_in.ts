import {z} from 'zod';
import {HOST_STATES, type HostState, type ListedHost} from '../stores/mod.ts';
import {StandInServer, type StandInServerOptions} from './stand_in_server.ts';

const setSchema = z.object({name: z.string(), state: z.enum(HOST_STATES)});

/** Options of {@link HostListStandIn}. */
export interface HostListStandInOptions extends StandInServerOptions {
  /** Milliseconds until a change shows in the list. @default 0 */
  lagMilliseconds?: number;
}

/** Stand-in of the platform's host list, over HTTP. It lags. */
export class HostListStandIn {
  readonly server: StandInServer;
  private readonly hosts = new Map<string, HostState>();

  constructor(private readonly options: HostListStandInOptions = {}) {
    this.server = new StandInServer(options);
    const {application} = this.server;
    application.post('/hosts', (_request, response) => {
      const hosts: ListedHost[] = [...this.hosts].map(([name, state]) => {
        return {name, state};
      });
      response.json({hosts});
    });
    application.post('/set', (request, response) => {
      const {name, state} = setSchema.parse(request.body);
      this.set(name, state);
      response.json({});
    });
  }

  /** Changes a host's state; it shows after the lag. */
  set(name: string, state: HostState): void {
    const lag = this.options.lagMilliseconds ?? 0;
    if (lag === 0) {
      this.hosts.set(name, state);
      return;
    }
    setTimeout(() => this.hosts.set(name, state), lag);
  }
}
