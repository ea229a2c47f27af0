import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {digestSecret} from '../src/keys/mod.ts';
import type {DemoEndpoints} from './demo_changes.ts';
import {ProcessGroup, type StartedProcess} from './process_group.ts';

/** A started host and the addresses that it printed. */
export interface DemoHost {
  readonly started: StartedProcess;
  readonly hostId: string;
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

/** The demo's processes. */
export interface DemoDeployment {
  readonly group: ProcessGroup;
  readonly hosts: readonly DemoHost[];
  readonly endpoints: DemoEndpoints;
  readonly operatorToken: string;
}

const TEST_SERVER_PROGRAM = 'src/testing/main.ts';
const DAEMON_PROGRAM = 'src/daemon/main.ts';
const HOST_COUNT = 3;
const ENGINE_COUNT = 2;
const SERVICE_COUNT = 2;

/** Starts the test servers and the hosts as processes on loopback. */
export async function startDemoDeployment(
  directory: string,
): Promise<DemoDeployment> {
  const group = new ProcessGroup(directory);
  const platform = await startPlatform(group);
  const endpoints = await startEndpoints(group, platform.weightStore);
  const operatorToken = randomBytes(24).toString('base64url');
  const hosts: DemoHost[] = [];
  for (let number = 1; number <= HOST_COUNT; number++) {
    const seeds = hosts.map(host => host.peers);
    const hostId = `host-${number}`;
    const file = join(directory, `${hostId}.json`);
    const settings = {
      hostId,
      deployment: 'demo',
      dataCentre: `istanbul-${number}`,
      callers: {listen: {address: '127.0.0.1', port: 0}},
      operators: {
        listen: {address: '127.0.0.1', port: 0},
        tokenDigests: [digestSecret(operatorToken)],
      },
      peers: {listen: {address: '127.0.0.1', port: 0}, seeds},
      platform,
    };
    writeFileSync(file, JSON.stringify(settings, null, 2));
    const started = await group.start(hostId, DAEMON_PROGRAM, [
      '--settings',
      file,
    ]);
    const {callers, operators, peers} = started.announcement;
    hosts.push({
      started,
      hostId,
      callers: callers!,
      operators: operators!,
      peers: peers!,
    });
  }
  return {group, hosts, endpoints, operatorToken};
}

async function startPlatform(group: ProcessGroup) {
  const startAndGetAddress = async (name: string) => {
    const started = await group.start(name, TEST_SERVER_PROGRAM, [name]);
    return started.announcement['address']!;
  };
  const [table, objectStore, weightStore, hostList] = await Promise.all([
    startAndGetAddress('table'),
    startAndGetAddress('object-store'),
    startAndGetAddress('weight-store'),
    startAndGetAddress('host-list'),
  ]);
  return {table, objectStore, weightStore, hostList};
}

async function startEndpoints(
  group: ProcessGroup,
  weightStore: string,
): Promise<DemoEndpoints> {
  const numbersUpTo = (count: number) =>
    Array.from({length: count}, (_unused, index) => index + 1);
  const engines = numbersUpTo(ENGINE_COUNT).map(number =>
    group.start(`engine-${number}`, TEST_SERVER_PROGRAM, [
      'engine',
      '--checks-fencing',
      '--weight-store',
      weightStore,
    ]),
  );
  const services = numbersUpTo(SERVICE_COUNT).map(number =>
    group.start(`catalogue-${number}`, TEST_SERVER_PROGRAM, [
      'service',
      '--name',
      `catalogue-${number}`,
    ]),
  );
  const announcedAddress = (started: StartedProcess) =>
    started.announcement['address']!;
  return {
    engines: (await Promise.all(engines)).map(announcedAddress),
    services: (await Promise.all(services)).map(announcedAddress),
  };
}
