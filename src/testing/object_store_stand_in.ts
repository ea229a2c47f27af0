import express from 'express';
import {StandInServer, type StandInServerOptions} from './stand_in_server.ts';

/** Stand-in of the platform's object store, over HTTP. */
export class ObjectStoreStandIn {
  readonly server: StandInServer;
  readonly objects = new Map<string, Buffer>();

  constructor(options: StandInServerOptions = {}) {
    this.server = new StandInServer(options);
    const {application} = this.server;
    const body = express.raw({type: () => true, limit: 64 * 1024 * 1024});
    application.get('/objects/:name', (request, response) => {
      const object = this.objects.get(request.params.name);
      if (object === undefined) {
        response.status(404).end();
        return;
      }
      response.type('application/octet-stream').send(object);
    });
    application.put('/objects/:name', body, (request, response) => {
      const {name} = request.params;
      this.objects.set(String(name), request.body as Buffer);
      response.status(204).end();
    });
    application.delete('/objects/:name', (request, response) => {
      this.objects.delete(request.params.name);
      response.status(204).end();
    });
  }
}
