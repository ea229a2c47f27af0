import {Command, InvalidArgumentError} from 'commander';
import type {CheckpointTier} from '../contracts/mod.ts';
import {EngineStandIn} from './engine_stand_in.ts';
import {HostListStandIn} from './host_list_stand_in.ts';
import {ObjectStoreStandIn} from './object_store_stand_in.ts';
import {ServiceStandIn} from './service_stand_in.ts';
import type {StandInServer} from './stand_in_server.ts';
import {TableStandIn} from './table_stand_in.ts';
import {WeightStoreStandIn} from './weight_store_stand_in.ts';

/** Runs one stand-in as a process; prints its address as one JSON line. */

const program = new Command('stand-in').description(
  'Runs one stand-in of an outside system. For development only.',
);

platformCommand('table', port => new TableStandIn({port}).server);
platformCommand('object-store', port => new ObjectStoreStandIn({port}).server);
platformCommand('host-list', port => new HostListStandIn({port}).server);

program
  .command('weight-store')
  .option('--port <number>', 'port; 0 for any', wholeNumber, 0)
  .option('--loads-per-second <number>', 'loads started a second', Number, 3)
  .action((options: {port: number; loadsPerSecond: number}) =>
    serve(new WeightStoreStandIn(options).server),
  );

program
  .command('service')
  .option('--port <number>', 'port; 0 for any', wholeNumber, 0)
  .option('--name <name>', 'name in the answers', 'service')
  .action((options: {port: number; name: string}) =>
    serve(new ServiceStandIn(options).server),
  );

interface EngineFlags {
  readonly port: number;
  readonly memoryMegabytes: number;
  readonly checksFencing: boolean;
  readonly weightStore?: string;
  readonly crashOn?: string;
  readonly disk: string[];
}

program
  .command('engine')
  .option('--port <number>', 'port; 0 for any', wholeNumber, 0)
  .option('--memory-megabytes <number>', 'memory', wholeNumber, 80_000)
  .option('--checks-fencing', 'refuses orders with an old epoch', false)
  .option('--weight-store <address>', 'address of the weight store')
  .option('--crash-on <text>', 'exits when a prompt contains the text')
  .option('--disk <names...>', 'models whose checkpoint is on the disk', [])
  .action((flags: EngineFlags) => {
    const tiers = new Map<string, CheckpointTier>(
      flags.disk.map(name => [name, 'disk']),
    );
    const engine = new EngineStandIn({
      port: flags.port,
      memoryMegabytes: flags.memoryMegabytes,
      checksFencing: flags.checksFencing,
      tiers,
      onCrash: () => process.exit(70),
      ...(flags.weightStore === undefined
        ? {}
        : {weightStoreAddress: flags.weightStore}),
      ...(flags.crashOn === undefined ? {} : {crashOn: flags.crashOn}),
    });
    return serve(engine.server);
  });

await program.parseAsync();

function platformCommand(
  name: string,
  create: (port: number) => StandInServer,
): void {
  program
    .command(name)
    .option('--port <number>', 'port; 0 for any', wholeNumber, 0)
    .action((options: {port: number}) => serve(create(options.port)));
}

async function serve(server: StandInServer): Promise<void> {
  await server.start();
  process.stdout.write(JSON.stringify({address: server.address}) + '\n');
  process.once('SIGTERM', () => process.exit(0));
}

function wholeNumber(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 0) {
    throw new InvalidArgumentError('It must be a whole number.');
  }
  return value;
}
