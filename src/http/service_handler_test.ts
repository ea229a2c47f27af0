import express from 'express';
import {createServer} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {expect, test} from 'vitest';
import {failure, type RequestError, success} from '../errors/mod.ts';
import type {CallerRequestHandler} from './caller_request_handler.ts';
import {createServiceHandler} from './service_handler.ts';

const LAST_CHUNK = '0\r\n\r\n';

/** A service whose response breaks off in the middle. */
const requests: CallerRequestHandler = {
  // eslint-disable-next-line require-yield
  async *runModel() {
    throw new Error('not used');
  },
  async callService() {
    return success({
      status: 200,
      headers: {'content-type': 'text/plain'},
      body: (async function* () {
        yield Buffer.from('half of');
        await new Promise(resolve => setTimeout(resolve, 20));
        throw new Error('The endpoint has closed the connection');
      })(),
    });
  },
  listModels: () =>
    failure<RequestError>({
      code: 'route_not_found',
      message: 'not used',
      step: 'admit',
      run: 'not_run',
    }),
};

// Guards against MIXED: HTTP/1.0 has no chunks, so a part of a response whose
// connection is closed without a reset looks complete.
test.each([
  {version: '1.0', ending: 'reset'},
  {version: '1.1', ending: 'end'},
])(
  'a broken response to an HTTP/$version caller does not look complete',
  async ({version, ending}) => {
    const application = express();
    application.all('/services/:service/*path', createServiceHandler(requests));
    const server = createServer(application);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    let received = '';
    const ended = await new Promise<string>(resolve => {
      const connection = connect({port, host: '127.0.0.1'}, () =>
        connection.write(
          `GET /services/catalogue/x HTTP/${version}\r\nHost: h\r\n\r\n`,
        ),
      );
      connection.on('data', bytes => (received += bytes.toString()));
      connection.once('end', () => resolve('end'));
      connection.once('error', () => resolve('reset'));
    });
    expect(received).toContain('half of');
    expect(ended).toBe(ending);
    expect(received.endsWith(LAST_CHUNK)).toBe(false);
    await new Promise(resolve => server.close(resolve));
  },
);
