import {z} from 'zod';
import type {JsonValue} from '../stores/mod.ts';
import {MemoryTable} from './memory_table.ts';
import {StandInServer, type StandInServerOptions} from './stand_in_server.ts';

const key = z.string().min(1);
const jsonValue = z.custom<JsonValue>(value => value !== undefined);
const readSchema = z.object({keys: z.array(key)});
const scanSchema = z.object({
  prefix: z.string(),
  after: z.string().optional(),
  limit: z.number().int().positive(),
});
const commitSchema = z.object({
  conditions: z.array(z.object({key, version: z.number().int().nullable()})),
  writes: z.array(
    z.discriminatedUnion('kind', [
      z.object({kind: z.literal('put'), key, value: jsonValue}),
      z.object({kind: z.literal('delete'), key}),
    ]),
  ),
});

/** Stand-in of the platform's table service, over HTTP. */
export class TableStandIn {
  readonly server: StandInServer;
  readonly table = new MemoryTable();

  constructor(options: StandInServerOptions = {}) {
    this.server = new StandInServer(options);
    const {application} = this.server;
    application.post('/read', async (request, response) => {
      const {keys} = readSchema.parse(request.body);
      const rows = await this.table.read(keys);
      response.json({rows: rows.ok ? rows.value.map(row => row ?? null) : []});
    });
    application.post('/scan', async (request, response) => {
      const {prefix, after, limit} = scanSchema.parse(request.body);
      const rows = await this.table.scan(prefix, {
        limit,
        ...(after === undefined ? {} : {after}),
      });
      response.json({rows: rows.ok ? rows.value : []});
    });
    application.post('/commit', async (request, response) => {
      response.json(await this.table.commit(commitSchema.parse(request.body)));
    });
  }
}
