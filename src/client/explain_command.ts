import {type Command, Option} from 'commander';
import {EXPLAIN_PARAMETERS, EXPLAIN_PATH} from '../entry/explain_api.ts';

/** Address of an entry host's metrics port, where it explains its decisions. */
export const DEFAULT_EXPLAIN_ADDRESS = '127.0.0.1:9464';

/** Options of the command, as given. */
interface ExplainFlags {
  readonly hostName: string;
  readonly path: string;
  readonly model?: string;
  readonly team?: string;
  readonly service?: string;
  readonly priority?: string;
  readonly tokens?: string;
  readonly deadlineMs?: string;
  readonly promptPart: readonly string[];
  readonly json?: boolean;
}

/**
 * Adds the command `explain`.
 *
 * @param ask Asks a host for the path with its query.
 */
export function addExplainCommand(
  program: Command,
  ask: (path: string, isJson: boolean) => Promise<void>,
): void {
  program
    .command('explain')
    .description(
      `explains what an entry host would do with a request now; --host is the address of its metrics port (default ${DEFAULT_EXPLAIN_ADDRESS}). Nothing is sent`,
    )
    .requiredOption('--host-name <name>', 'host name that the caller uses')
    .requiredOption('--path <path>', 'path of the request')
    .option('--model <model>', 'model, or model/adapter')
    .option('--team <team>', 'team whose key the caller uses')
    .option('--service <service>', 'one of several services of the route')
    .option('--priority <number>', 'priority in place of the configured one')
    .option('--tokens <number>', 'cost of the request in tokens')
    .option('--deadline-ms <milliseconds>', 'time-out of the caller')
    .addOption(
      new Option(
        '--prompt-part <id>',
        'part of the prompt that other requests have as well, without the last one of the session; may be repeated, in order',
      )
        .argParser((id: string, former: string[]) => [...former, id])
        .default([], 'none'),
    )
    .option('--json', 'prints JSON')
    .action((flags: ExplainFlags) =>
      ask(`${EXPLAIN_PATH}?${queryOf(flags)}`, flags.json === true),
    );
}

/** Adds the scheme to an address of a host that has none. */
export function withScheme(address: string): string {
  return /^https?:\/\//.test(address) ? address : `http://${address}`;
}

function queryOf(flags: ExplainFlags): string {
  const query = new URLSearchParams();
  const add = (name: string, value: string | undefined) => {
    if (value !== undefined) query.append(name, value);
  };
  add(EXPLAIN_PARAMETERS.hostName, flags.hostName);
  add(EXPLAIN_PARAMETERS.path, flags.path);
  add(EXPLAIN_PARAMETERS.target, flags.model);
  add(EXPLAIN_PARAMETERS.team, flags.team);
  add(EXPLAIN_PARAMETERS.service, flags.service);
  add(EXPLAIN_PARAMETERS.priority, flags.priority);
  add(EXPLAIN_PARAMETERS.tokens, flags.tokens);
  add(EXPLAIN_PARAMETERS.deadline, flags.deadlineMs);
  for (const id of flags.promptPart) add(EXPLAIN_PARAMETERS.promptPart, id);
  return query.toString();
}
