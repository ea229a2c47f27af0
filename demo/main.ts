import {randomUUID} from 'node:crypto';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createParser} from 'eventsource-parser';
import {got} from 'got';
import {runOperatorClient} from '../src/client/mod.ts';
import {demoChanges} from './demo_changes.ts';
import {type DemoDeployment, startDemoDeployment} from './demo_deployment.ts';

/** Runs the demo. A development tool that is not part of the product. */

const READY_TIMEOUT_MILLISECONDS = 30_000;
const directory = mkdtempSync(join(tmpdir(), 'limpetdale-demo-'));
const summary: [string, string][] = [];

const deployment = await startDemoDeployment(directory);
try {
  await runDemo(deployment);
  if (process.argv.includes('--keep-running')) {
    await keepRunning(deployment);
  } else {
    await stopHosts(deployment);
  }
  printSummary();
} finally {
  await deployment.group.stopAll();
}

async function runDemo({
  hosts,
  endpoints,
  operatorToken,
}: DemoDeployment): Promise<void> {
  await Promise.all(hosts.map(host => waitUntilReady(host.callers)));
  recordStep('hosts ready', hosts.map(host => host.hostId).join(', '));

  const operate = createOperatorCommand(hosts[0]!.operators, operatorToken);
  const changesFile = join(directory, 'changes.json');
  writeFileSync(changesFile, JSON.stringify(demoChanges(endpoints)));
  const applied = await operate('apply', changesFile);
  const last = applied.at(-1) as {status: string; version: number};
  recordStep('contract', `${last.status} at version ${last.version}`);
  const [, key] = (await operate('key', 'issue', 'workshop')) as {
    keyId: string;
    secret: string;
  }[];
  const secret = key!.secret;
  recordStep('key', `issued as ${key!.keyId}`);

  const address = await lookUpAddress(hosts[1]!.callers, secret);
  recordStep('address look-up', address);
  await sendColdRequest(address, secret);
  await sendStreamedRequest(address, secret);
  await sendOrderTwice(hosts[0]!.callers, address, secret, endpoints.services);
  await withdrawKey(operate, key!.keyId, address, secret);
}

async function sendColdRequest(address: string, secret: string): Promise<void> {
  const startedAt = performance.now();
  const answer = await got
    .post(`${address}/v1/chat/completions`, {
      headers: {authorization: `Bearer ${secret}`},
      json: {
        model: 'walnut-figure',
        max_tokens: 12,
        messages: [{role: 'user', content: 'Which species has this figure'}],
      },
      retry: {limit: 0},
    })
    .json<{choices: {message: {content: string}}[]}>();
  const elapsed = Math.round(performance.now() - startedAt);
  const text = answer.choices[0]!.message.content.trim();
  recordStep('cold request', `${elapsed} ms, "${text}"`);
}

async function sendStreamedRequest(
  address: string,
  secret: string,
): Promise<void> {
  const startedAt = performance.now();
  const events: string[] = [];
  let firstAt = 0;
  const parser = createParser({
    onEvent: event => {
      if (events.length === 0) firstAt = performance.now() - startedAt;
      events.push(event.data);
    },
  });
  const stream = got.stream.post(`${address}/v1/chat/completions`, {
    headers: {authorization: `Bearer ${secret}`},
    json: {
      model: 'veneer-assistant',
      stream: true,
      max_tokens: 12,
      messages: [{role: 'user', content: 'Show me rotary cut oak'}],
    },
    retry: {limit: 0},
  });
  for await (const chunk of stream) parser.feed(String(chunk));
  if (events.at(-1) !== '[DONE]') {
    throw new Error(`The stream has no end marker: ${events.at(-1)}`);
  }
  const first = Math.round(firstAt);
  recordStep(
    'streamed request',
    `${events.length} events, first after ${first} ms`,
  );
}

async function sendOrderTwice(
  firstAddress: string,
  secondAddress: string,
  secret: string,
  services: readonly string[],
): Promise<void> {
  const idempotencyKey = randomUUID();
  const sendOrder = async (address: string) => {
    for (;;) {
      const answer = await got.post(`${address}/services/catalogue/orders`, {
        headers: {
          authorization: `Bearer ${secret}`,
          'idempotency-key': idempotencyKey,
        },
        json: {sample: 'walnut burl'},
        throwHttpErrors: false,
        retry: {limit: 0},
      });
      // A repeated request is rejected until the result of the first is stored.
      if (!answer.body.includes('request_in_progress')) return answer;
      await new Promise(resolve => setTimeout(resolve, 200));
    }
  };
  const first = await sendOrder(firstAddress);
  const second = await sendOrder(secondAddress);
  const runs = await Promise.all(
    services.map(async service => {
      const answer = await got(`${service}/_runs`).json<{
        runs: {path: string; headers: Record<string, string>}[];
      }>();
      return answer.runs.filter(run => run.path === '/orders');
    }),
  );
  const orderRuns = runs.flat();
  const keyWasForwarded = orderRuns.some(run =>
    JSON.stringify(run).includes(secret),
  );
  if (orderRuns.length !== 1 || first.body !== second.body || keyWasForwarded) {
    throw new Error(
      `The order ran ${orderRuns.length} times, answers "${first.body}" and "${second.body}"`,
    );
  }
  recordStep(
    'order sent twice',
    `ran ${orderRuns.length} time, both callers got its answer`,
  );
}

async function withdrawKey(
  operate: ReturnType<typeof createOperatorCommand>,
  keyId: string,
  address: string,
  secret: string,
): Promise<void> {
  await operate('key', 'withdraw', keyId);
  const startedAt = performance.now();
  for (;;) {
    const answer = await got(`${address}/v1/models`, {
      headers: {authorization: `Bearer ${secret}`},
      throwHttpErrors: false,
      retry: {limit: 0},
    });
    if (answer.statusCode === 401) break;
    if (performance.now() - startedAt > 5000) {
      throw new Error('The withdrawn key still works after 5 s');
    }
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  recordStep('withdrawn key', 'refused with status 401');
}

async function stopHosts({group, hosts}: DemoDeployment): Promise<void> {
  const codes = await Promise.all(hosts.map(host => group.stop(host.started)));
  if (codes.some(code => code !== 0)) {
    throw new Error(`The hosts exited with codes ${codes.join(', ')}`);
  }
  recordStep('graceful shutdown', `exit codes ${codes.join(', ')}`);
}

async function keepRunning(deployment: DemoDeployment): Promise<void> {
  const {hosts, operatorToken} = deployment;
  const operate = createOperatorCommand(hosts[0]!.operators, operatorToken);
  const [, key] = (await operate('key', 'issue', 'workshop')) as {
    secret: string;
  }[];
  printSummary();
  const {callers, operators} = hosts[0]!;
  print(`
Running until Ctrl+C; logs are in ${directory}. Try:

  curl -s ${callers}/v1/models -H 'Authorization: Bearer ${key!.secret}'
  curl -sN ${callers}/v1/chat/completions -H 'Authorization: Bearer ${key!.secret}' \\
    -H 'Content-Type: application/json' \\
    -d '{"model":"veneer-assistant","stream":true,"messages":[{"role":"user","content":"Oak or ash"}]}'
  export LIMPETDALE_HOST=${operators} LIMPETDALE_TOKEN=${operatorToken}
  npx tsx src/client/main.ts status
  npx tsx src/client/main.ts model show veneer-assistant
`);
  await new Promise<void>(resolve => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
  summary.length = 0;
  await stopHosts(deployment);
}

/** Returns a function that runs the operators' client and parses its output. */
function createOperatorCommand(address: string, token: string) {
  return async (...commandArguments: string[]): Promise<unknown[]> => {
    const output: unknown[] = [];
    const errors: string[] = [];
    const code = await runOperatorClient(
      ['--host', address, '--token', token, ...commandArguments],
      {
        write: line => output.push(JSON.parse(line)),
        writeError: line => errors.push(line),
      },
    );
    if (code !== 0) {
      const reason = errors.join('; ');
      throw new Error(
        `"${commandArguments.join(' ')}" ended with ${code}: ${reason}`,
      );
    }
    return output;
  };
}

async function lookUpAddress(host: string, secret: string): Promise<string> {
  const {addresses} = await got(`${host}/v1/addresses`, {
    headers: {authorization: `Bearer ${secret}`},
  }).json<{addresses: {address: string}[]}>();
  const address = addresses[0]?.address;
  if (address === undefined) throw new Error('The look-up gave no address');
  return address;
}

async function waitUntilReady(address: string): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS;
  for (;;) {
    const answer = await got(`${address}/readyz`, {
      throwHttpErrors: false,
      retry: {limit: 0},
    });
    if (answer.statusCode === 200) return;
    if (performance.now() > deadline) {
      throw new Error(`${address} is not ready: ${answer.body}`);
    }
    await new Promise(resolve => setTimeout(resolve, 100));
  }
}

function recordStep(step: string, result: string): void {
  summary.push([step, result]);
  print(`[${new Date().toISOString()}] ${step}: ${result}`);
}

function printSummary(): void {
  print('\nSummary');
  for (const [step, result] of summary) print(`  ${step.padEnd(20)} ${result}`);
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
