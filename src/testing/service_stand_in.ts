import express from 'express';
import {StandInServer, type StandInServerOptions} from './stand_in_server.ts';

/** One call that a service ran. */
export interface ServiceRun {
  readonly method: string;
  readonly path: string;
  readonly requestId: string | undefined;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
}

/** Options of {@link ServiceStandIn}. */
export interface ServiceStandInOptions extends StandInServerOptions {
  /** Name that it puts into its answers. @default 'service' */
  name?: string;
  /** Milliseconds that a call takes. @default 0 */
  callMilliseconds?: number;
}

/** Stand-in of a plain service: runs each call once and counts it. */
export class ServiceStandIn {
  readonly server: StandInServer;
  readonly runs: ServiceRun[] = [];

  constructor(options: ServiceStandInOptions = {}) {
    this.server = new StandInServer(options);
    const {application} = this.server;
    application.get('/_runs', (_request, response) => {
      response.json({runs: this.runs});
    });
    application.use(express.text({type: () => true, limit: '16mb'}));
    application.use((request, response) => {
      const body =
        typeof request.body === 'string'
          ? request.body
          : JSON.stringify(request.body ?? '');
      this.runs.push({
        method: request.method,
        path: request.originalUrl,
        requestId: request.get('x-request-id'),
        headers: {...request.headers},
        body,
      });
      const number = this.runs.length;
      setTimeout(() => {
        response.json({service: options.name ?? 'service', number, body});
      }, options.callMilliseconds ?? 0);
    });
  }
}
