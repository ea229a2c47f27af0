import {once} from 'node:events';
import {type ClientRequest, type IncomingMessage, request} from 'node:http';
import {got} from 'got';
import {afterEach, describe, expect, test} from 'vitest';
import type {EngineStandInOptions} from '../testing/engine_stand_in.ts';
import {LocalDeployment} from '../testing/local_deployment.ts';
import type {Host} from './mod.ts';

const MODEL = 'veneer-assistant';

let deployment: LocalDeployment | undefined;

afterEach(async () => {
  await deployment?.stop();
  deployment = undefined;
});

interface ServingHost {
  readonly host: Host;
  readonly secret: string;
}

async function startServingHost(
  engineOptions: EngineStandInOptions,
  drainTimeoutMilliseconds = 2000,
): Promise<ServingHost> {
  deployment = await LocalDeployment.start({
    engines: 1,
    engineOptions,
    drainTimeoutMilliseconds,
  });
  const host = await deployment.startHost('host-1');
  await deployment.putEndpoints(host);
  await deployment.putModel(host, MODEL);
  const {secret} = await deployment.putContract(host, 'workshop', [MODEL]);
  return {host, secret};
}

interface Completion {
  /** Undefined if the connection was closed before the response had ended. */
  readonly status: number | undefined;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
}

/** Sends a chat request and returns the response, or how the connection ended. */
async function sendChat(
  {host, secret}: ServingHost,
  stream: boolean,
): Promise<Completion> {
  try {
    const response = await got.post(
      `${host.addresses.callers}/v1/chat/completions`,
      {
        throwHttpErrors: false,
        retry: {limit: 0},
        headers: {authorization: `Bearer ${secret}`},
        json: {
          model: MODEL,
          max_tokens: 10_000,
          stream,
          messages: [{role: 'user', content: 'Which species'}],
        },
      },
    );
    const {statusCode: status, headers, body} = response;
    return {status, headers, body};
  } catch (error) {
    return {status: undefined, headers: {}, body: String(error)};
  }
}

/** Waits until the host has this many open requests. */
async function waitForOpenRequests({host}: ServingHost, count: number) {
  const url = `${host.addresses.callers}/metrics`;
  await expect
    .poll(() => got(url).text())
    .toContain(`limpetdale_open_requests ${count}\n`);
}

describe('a host whose drain ends before its requests', () => {
  // Guards against an accepted request that waits until the drain times out and
  // is then not told when to try again.
  test('refuses a request that waits for a replica as not run', async () => {
    const serving = await startServingHost({remoteLoadMilliseconds: 60_000});
    const answer = sendChat(serving, false);
    await waitForOpenRequests(serving, 1);
    await serving.host.drain();
    const refusal = await answer;
    expect(refusal.body).toContain('"code":"host_draining"');
    expect(refusal).toMatchObject({
      status: 503,
      headers: {'retry-after': '1', 'x-limpetdale-run': 'not_run'},
    });
  });

  // Guards against a response that ends without an error event or a status
  // when its run outlasts the drain.
  const running = [
    {name: 'a stream', stream: true, status: 200},
    {name: 'a whole response', stream: false, status: 503},
  ];
  test.each(running)(
    'ends $name that is still running with an error',
    async ({stream, status}) => {
      const serving = await startServingHost({
        tokenMilliseconds: 50,
        answerTokens: 10_000,
      });
      const answer = sendChat(serving, stream);
      await waitForOpenRequests(serving, 1);
      await expect
        .poll(() => deployment?.engines[0]?.runsStarted.length)
        .toBe(1);
      await serving.host.drain();
      const ended = await answer;
      expect(ended.body).toContain('"code":"host_draining"');
      expect(ended.body).toContain('"run":"unknown"');
      expect(ended.status).toBe(status);
    },
  );
});

// Guards against an upload whose connection is closed without a response
// because the request path does not count it as open yet.
test('a host that stops during an upload refuses the request as not run', async () => {
  const serving = await startServingHost({}, 20_000);
  const body = JSON.stringify({
    model: MODEL,
    messages: [{role: 'user', content: 'Which species'}],
  });
  const upload = request(
    `${serving.host.addresses.callers}/v1/chat/completions`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${serving.secret}`,
        'content-length': body.length,
        expect: '100-continue',
      },
    },
  );
  const response = readResponse(upload);
  upload.flushHeaders();
  await once(upload, 'continue');
  const drained = serving.host.drain();
  await expect
    .poll(() =>
      got(serving.host.addresses.callers, {retry: {limit: 0}}).catch(String),
    )
    .toContain('ECONNREFUSED');
  upload.end(body);
  expect(await response).toMatchObject({status: 503, run: 'not_run'});
  await drained;
});

/** Returns the response to a request, or how its connection ended. */
async function readResponse(sent: ClientRequest) {
  try {
    const [message] = (await once(sent, 'response')) as [IncomingMessage];
    message.resume();
    const run = message.headers['x-limpetdale-run'];
    return {status: message.statusCode, run};
  } catch (error) {
    return {status: undefined, run: String(error)};
  }
}
