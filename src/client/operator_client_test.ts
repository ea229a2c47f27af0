import {mkdtempSync, writeFileSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {
  applyChange,
  type Authority,
  EMPTY_AUTHORITY,
} from '../contracts/mod.ts';
import {
  createOperatorApplication,
  type OperatorChangeResult,
} from '../http/mod.ts';
import {digestSecret} from '../keys/mod.ts';
import {CLIENT_EXIT_CODES, runOperatorClient} from './mod.ts';

const TOKEN = 'operator-token';
const directory = mkdtempSync(join(tmpdir(), 'limpetdale-client-'));

let server: Server;
let address: string;
let authority: Authority;
let changeIds: string[];
let bodies: string[];
let submitOutcome: 'in_effect' | 'committed' | 'unavailable' | 'uncertain';
let drained: boolean;

beforeEach(async () => {
  authority = EMPTY_AUTHORITY;
  changeIds = [];
  bodies = [];
  submitOutcome = 'in_effect';
  drained = false;
  const application = createOperatorApplication({
    tokenDigests: [digestSecret(TOKEN)],
    authority: () => authority,
    submit: async (
      changeId,
      _author,
      change,
    ): Promise<OperatorChangeResult> => {
      changeIds.push(changeId);
      bodies.push(JSON.stringify(change));
      if (submitOutcome === 'unavailable') {
        return {
          kind: 'unavailable',
          error: {
            kind: 'unavailable',
            step: 'commit',
            peer: 'table',
            reason: 'down',
          },
        };
      }
      if (submitOutcome === 'uncertain')
        return {kind: 'uncertain', reason: 'lost'};
      const outcome = applyChange(authority, change);
      if (!outcome.ok) return {kind: 'rejected', rejection: outcome.error};
      authority = outcome.value;
      return {kind: submitOutcome, version: authority.version};
    },
    status: () => ({host: 'host-1'}),
    explainModel: name => (name === 'known' ? {name} : undefined),
    explainEndpoint: () => undefined,
    showRequest: async (team, key) => ({team, key}),
    drain: () => {
      drained = true;
    },
  });
  server = createServer(application);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
  server.close();
  server.closeAllConnections();
});

async function run(...commandArguments: string[]) {
  const output: string[] = [];
  const errors: string[] = [];
  const code = await runOperatorClient(
    ['--host', address, '--token', TOKEN, ...commandArguments],
    {
      write: line => output.push(line),
      writeError: line => errors.push(line),
    },
  );
  return {code, output: output.join('\n'), errors: errors.join('\n')};
}

function writeJson(name: string, value: unknown): string {
  const file = join(directory, name);
  writeFileSync(
    file,
    typeof value === 'string' ? value : JSON.stringify(value),
  );
  return file;
}

const CONTRACT = {
  team: 'workshop',
  models: [],
  adapters: [],
  services: [],
  tokensPerSecond: 10,
  burstTokens: 100,
};

describe('exit codes and messages', () => {
  const cases: {
    name: string;
    answer?: typeof submitOutcome;
    commandArguments: () => string[];
    code: number;
    text: string;
  }[] = [
    {
      name: 'an accepted change',
      commandArguments: () => [
        'contract',
        'put',
        writeJson('contract.json', CONTRACT),
      ],
      code: CLIENT_EXIT_CODES.success,
      text: '"status": "accepted"',
    },
    {
      name: 'a committed change whose delivery is pending',
      answer: 'committed',
      commandArguments: () => [
        'contract',
        'put',
        writeJson('contract.json', CONTRACT),
      ],
      code: CLIENT_EXIT_CODES.deliveryPending,
      text: '"status": "committed"',
    },
    {
      name: 'a table outage',
      answer: 'unavailable',
      commandArguments: () => [
        'contract',
        'put',
        writeJson('contract.json', CONTRACT),
      ],
      code: CLIENT_EXIT_CODES.refused,
      text: 'nothing was changed',
    },
    {
      name: 'an uncertain outcome',
      answer: 'uncertain',
      commandArguments: () => [
        'contract',
        'put',
        writeJson('contract.json', CONTRACT),
      ],
      code: CLIENT_EXIT_CODES.refused,
      text: 'send the same change id again',
    },
    {
      name: 'a file that is not JSON',
      commandArguments: () => [
        'contract',
        'put',
        writeJson('broken.json', '{"team":'),
      ],
      code: CLIENT_EXIT_CODES.usage,
      text: 'JSON',
    },
    {
      name: 'a contract with a wrong field',
      commandArguments: () => [
        'contract',
        'put',
        writeJson('wrong.json', {...CONTRACT, burstTokens: -1}),
      ],
      code: CLIENT_EXIT_CODES.refused,
      text: 'change.contract.burstTokens',
    },
    {
      name: 'a missing file',
      commandArguments: () => [
        'contract',
        'put',
        join(directory, 'missing.json'),
      ],
      code: CLIENT_EXIT_CODES.usage,
      text: 'ENOENT',
    },
    {
      name: 'ending a contract that does not exist',
      commandArguments: () => ['contract', 'end', 'nobody'],
      code: CLIENT_EXIT_CODES.refused,
      text: 'not_found',
    },
    {
      name: 'a key for a team without a contract',
      commandArguments: () => ['key', 'issue', 'nobody'],
      code: CLIENT_EXIT_CODES.refused,
      text: 'missing contract nobody',
    },
    {
      name: 'an unknown command',
      commandArguments: () => ['contrct'],
      code: CLIENT_EXIT_CODES.usage,
      text: 'unknown command',
    },
    {
      name: 'an unknown entity',
      commandArguments: () => ['model', 'show', 'unknown'],
      code: CLIENT_EXIT_CODES.refused,
      text: 'no such entry',
    },
    {
      name: 'an explanation',
      commandArguments: () => ['model', 'show', 'known'],
      code: CLIENT_EXIT_CODES.success,
      text: '"name": "known"',
    },
    {
      name: 'a claim',
      commandArguments: () => ['request', 'show', 'workshop', 'order 7/a'],
      code: CLIENT_EXIT_CODES.success,
      text: '"key": "order 7/a"',
    },
  ];
  test.each(cases)('$name', async scenario => {
    submitOutcome = scenario.answer ?? 'in_effect';
    const {code, output, errors} = await run(...scenario.commandArguments());
    expect({code, text: output + errors}).toMatchObject({
      code: scenario.code,
      text: expect.stringContaining(scenario.text) as string,
    });
  });
});

test('an invalid token is rejected', async () => {
  const {code, errors} = await run('--token', 'other', 'status');
  expect(code).toBe(CLIENT_EXIT_CODES.refused);
  expect(errors).toContain('invalid_token');
});

test('an unreachable host is skipped for the next one', async () => {
  const {code} = await run('--host', `http://127.0.0.1:1,${address}`, 'status');
  expect(code).toBe(CLIENT_EXIT_CODES.success);
});

test('when no host is reachable, the change id for a retry is printed', async () => {
  const file = writeJson('contract.json', CONTRACT);
  const {code, errors} = await run(
    '--host',
    'http://127.0.0.1:1',
    '--change-id',
    'change-7',
    'contract',
    'put',
    file,
  );
  expect(code).toBe(CLIENT_EXIT_CODES.unreachable);
  expect(errors).toContain('Repeat with --change-id change-7');
});

test('an issued secret is shown once and never sent', async () => {
  await run('contract', 'put', writeJson('contract.json', CONTRACT));
  const {output} = await run('key', 'issue', 'workshop');
  const secret = /"secret": "([^"]+)"/.exec(output)![1]!;
  expect(bodies.join('')).not.toContain(secret);
  expect(JSON.stringify((await run('key', 'list')).output)).not.toContain(
    secret,
  );
});

test('a list of changes stops at the first rejected change', async () => {
  const changes = [
    {kind: 'put_contract', contract: CONTRACT},
    {kind: 'withdraw_key', keyId: 'key-missing'},
    {kind: 'end_contract', team: 'workshop'},
  ];
  const {code, errors} = await run('apply', writeJson('changes.json', changes));
  expect(code).toBe(CLIENT_EXIT_CODES.refused);
  expect(errors).toContain('Stopped at change 2 of 3');
  expect(changeIds.length).toBe(2);
  expect(authority.contracts.has('workshop')).toBe(true);
});

test('the drain command starts a drain of the host', async () => {
  expect((await run('drain')).code).toBe(CLIENT_EXIT_CODES.success);
  expect(drained).toBe(true);
});
