import {get} from 'node:http';
import {afterEach, describe, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';

const ADDRESS_PATH =
  '/limpetdale/resolution?name=api.example&region=r&zone=zone-a';

const CALLERS = 80;

/** Largest share of the callers for each core, relative to an even one. */
const LARGEST_EXCESS = 1.5;

interface Fleet {
  name: string;
  /** Processor capacity of each host, in cores. */
  cores: readonly number[];
}

const FLEETS: Fleet[] = [
  {name: 'of one size', cores: [1, 1, 1, 1]},
  {
    name: 'with two large ones',
    cores: [1.35, 1.35, 0.324, 0.324, 0.324, 0.324],
  },
];

let fleet: EntryFleet;

afterEach(() => fleet.stop());

describe('callers of hosts', () => {
  // Guards against small hosts that get as many callers as large ones, are late for
  // seconds, and let endpoints work for callers that have left.
  test.each(FLEETS)('$name are spread by capacity', async ({cores}) => {
    fleet = await EntryFleet.start();
    await fleet.startEndpoint({id: 'plain-1', service: 'plain'});
    const hosts = await Promise.all(
      cores.map((speed, index) =>
        fleet.startHost(`host-${index}`, {processor: {share: 1, speed}}),
      ),
    );
    const {directoryPort} = hosts[0]!;
    await expect
      .poll(async () => {
        const callers = Array.from(
          {length: CALLERS},
          (_unused, index) => index,
        );
        const answers = await Promise.all(
          callers.map(index => lookUp(directoryPort, `127.0.1.${index + 1}`)),
        );
        return largestExcess(
          hosts.map(({callerPort}, index) => ({
            address: `127.0.0.1:${callerPort}`,
            cores: cores[index]!,
          })),
          answers,
        );
      })
      .toBeLessThan(LARGEST_EXCESS);
  });
});

/** Callers for each core of the host with most of them, relative to all hosts. */
function largestExcess(
  hosts: readonly {address: string; cores: number}[],
  answers: readonly (readonly string[])[],
): number {
  const allCores = hosts.reduce((sum, {cores}) => sum + cores, 0);
  return Math.max(
    ...hosts.map(({address, cores}) => {
      const callers = answers.reduce(
        (sum, addresses) =>
          addresses.includes(address) ? sum + 1 / addresses.length : sum,
        0,
      );
      return callers / answers.length / (cores / allCores);
    }),
  );
}

/** Looks addresses up as a caller with an IP address of its own. */
function lookUp(port: number, localAddress: string): Promise<string[]> {
  return new Promise((resolve, reject) => {
    get(
      {host: '127.0.0.1', port, path: ADDRESS_PATH, localAddress},
      response => {
        let body = '';
        response.on('data', (chunk: Buffer) => (body += chunk.toString()));
        response.on('end', () => {
          resolve((JSON.parse(body) as {addresses: string[]}).addresses);
        });
      },
    ).on('error', reject);
  });
}
