import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {Command, Option} from 'commander';
import {digestSecret, issueKey} from '../keys/mod.ts';
import type {RequestExplanation} from '../entry/mod.ts';
import {
  addExplainCommand,
  DEFAULT_EXPLAIN_ADDRESS,
  withScheme,
} from './explain_command.ts';
import {formatExplanation} from './format_explanation.ts';
import {
  type OperatorResponse,
  OperatorConnection,
} from './operator_connection.ts';

/** Output functions of the operators' client, one call for each message. */
export interface OperatorClientOptions {
  write: (line: string) => void;
  writeError: (line: string) => void;
}

/** Exit codes of the client. */
export const CLIENT_EXIT_CODES = {
  success: 0,
  refused: 1,
  usage: 2,
  unreachable: 3,
  /** The change is committed, but not confirmed to be in effect. */
  deliveryPending: 4,
} as const;

interface GlobalOptions {
  readonly host: string;
  readonly token?: string;
  readonly author: string;
  readonly changeId?: string;
}

/**
 * Entities that are created from a JSON file. `name` is the field that
 * identifies an entity of the collection.
 */
const FILE_ENTITIES = [
  {noun: 'contract', collection: 'contracts', name: 'team'},
  {noun: 'pool', collection: 'pools', name: 'name'},
  {noun: 'endpoint', collection: 'endpoints', name: 'name'},
  {noun: 'model', collection: 'models', name: 'name'},
  {noun: 'adapter', collection: 'adapters', name: 'name'},
  {noun: 'route', collection: 'routes', name: 'name'},
] as const;

/**
 * Runs one command of the operators' client.
 *
 * @param commandArguments Command-line arguments after the program's name.
 * @returns The exit code.
 */
export async function runOperatorClient(
  commandArguments: readonly string[],
  options: OperatorClientOptions,
): Promise<number> {
  const client = new OperatorClient(options);
  return client.run(commandArguments);
}

class OperatorClient {
  private readonly program = new Command('limpetdale');
  private exitCode: number = CLIENT_EXIT_CODES.success;

  constructor(private readonly options: OperatorClientOptions) {
    this.program
      .description('Operators’ client of limpetdale')
      .addOption(
        new Option(
          '--host <addresses>',
          'operator addresses of hosts, separated by commas, tried in order',
        )
          .env('LIMPETDALE_HOST')
          .default('http://127.0.0.1:8081'),
      )
      .addOption(
        new Option('--token <token>', 'operator token').env('LIMPETDALE_TOKEN'),
      )
      .option('--author <name>', 'who makes the change', 'operator')
      .option(
        '--change-id <id>',
        'id of the change; repeat the same id when an answer was lost',
      )
      .exitOverride()
      .configureOutput({
        writeOut: text => options.write(text.trimEnd()),
        writeErr: text => options.writeError(text.trimEnd()),
      });
    this.addEntityCommands();
    this.addKeyCommands();
    this.addOtherCommands();
    addExplainCommand(this.program, (path, isJson) =>
      this.explain(path, isJson),
    );
  }

  async run(commandArguments: readonly string[]): Promise<number> {
    try {
      await this.program.parseAsync([...commandArguments], {from: 'user'});
      return this.exitCode;
    } catch (error) {
      if (error instanceof Error && 'exitCode' in error) {
        return error.exitCode === 0
          ? CLIENT_EXIT_CODES.success
          : CLIENT_EXIT_CODES.usage;
      }
      const message = error instanceof Error ? error.message : String(error);
      this.options.writeError(`limpetdale: ${message}`);
      return CLIENT_EXIT_CODES.usage;
    }
  }

  private addEntityCommands(): void {
    for (const {noun, collection, name} of FILE_ENTITIES) {
      const command = this.program
        .command(noun)
        .description(`${noun}s of the deployment`);
      command
        .command('put <file>')
        .description(`creates or replaces a ${noun} from a JSON file`)
        .option(
          '--expected-revision <number>',
          'fails unless the entity has this revision; 0 when it must not exist',
        )
        .action((file: string, flags: {expectedRevision?: string}) =>
          this.submitChange({
            kind: `put_${noun}`,
            [noun]: JSON.parse(readFileSync(file, 'utf8')) as unknown,
            ...expectedRevision(flags.expectedRevision),
          }),
        );
      command
        .command('list')
        .description(`lists the ${noun}s`)
        .action(() => this.listEntities(collection));
      const removal = noun === 'contract' ? 'end' : 'remove';
      command
        .command(`${removal} <name>`)
        .description(`${removal}s a ${noun}`)
        .action((value: string) =>
          this.submitChange({kind: `${removal}_${noun}`, [name]: value}),
        );
      this.addShow(command, noun, collection, name);
    }
  }

  private addShow(
    command: Command,
    noun: string,
    collection: string,
    name: string,
  ): void {
    const explainedPaths: Record<string, string> = {
      model: 'models',
      adapter: 'models',
      endpoint: 'endpoints',
    };
    const path = explainedPaths[noun];
    command
      .command('show <name>')
      .description(
        path === undefined
          ? `shows a ${noun}`
          : `shows a ${noun} and explains where it is and why`,
      )
      .action((value: string) =>
        path === undefined
          ? this.showEntity(collection, name, value)
          : this.fetchAndPrint(`/${path}/${encodeURIComponent(value)}`),
      );
  }

  private addKeyCommands(): void {
    const key = this.program.command('key').description('keys of teams');
    key
      .command('issue <team>')
      .description('issues a key; its secret is shown this one time only')
      .action((team: string) => this.issueKey(team));
    key
      .command('withdraw <keyId>')
      .description('withdraws a key')
      .action((keyId: string) =>
        this.submitChange({kind: 'withdraw_key', keyId}),
      );
    key
      .command('list')
      .description('lists the keys, without secrets')
      .action(() => this.listEntities('keys'));
  }

  private addOtherCommands(): void {
    this.program
      .command('apply <file>')
      .description('applies a JSON array of changes in order')
      .action((file: string) => this.applyFile(file));
    this.program
      .command('status')
      .description('shows a host, its view, its peers and its leases')
      .action(() => this.fetchAndPrint('/status'));
    this.program
      .command('drain')
      .description('starts a graceful shutdown of the host')
      .action(async () => {
        this.printResponse(await this.connection().post('/drain', {}));
      });
    const host = this.program.command('host').description('entry hosts');
    host.command('list').action(() => this.listEntities('members'));
    const lease = this.program.command('lease').description('leases');
    lease.command('list').action(() => this.listEntities('leases'));
    const quarantine = this.program
      .command('quarantine')
      .description('requests that were in flight when an endpoint died');
    quarantine.command('list').action(() => this.listEntities('quarantine'));
    quarantine
      .command('release <fingerprint>')
      .action((fingerprint: string) =>
        this.submitChange({kind: 'release_quarantine', fingerprint}),
      );
    this.program
      .command('request')
      .description('requests with an idempotency key')
      .command('show <team> <key>')
      .action((team: string, key: string) =>
        this.fetchAndPrint(
          `/requests/${encodeURIComponent(team)}/${encodeURIComponent(key)}`,
        ),
      );
    this.program
      .command('token-digest <token>')
      .description('prints the digest of an operator token, for the settings')
      .action((token: string) => this.options.write(digestSecret(token)));
  }

  private async issueKey(team: string): Promise<void> {
    // The secret is generated here and only its digest is sent, so repeating
    // the command after a lost response can neither reveal nor change it.
    const {record, secret} = issueKey(team);
    const accepted = await this.submit({kind: 'issue_key', key: record});
    if (accepted) this.writeJson({keyId: record.keyId, team, secret});
  }

  private async applyFile(file: string): Promise<void> {
    const changes = JSON.parse(readFileSync(file, 'utf8')) as unknown;
    if (!Array.isArray(changes)) {
      throw new Error(`"${file}" must hold a JSON array of changes`);
    }
    const prefix = this.globalOptions.changeId ?? randomUUID();
    for (const [index, change] of changes.entries()) {
      const accepted = await this.submit(change, `${prefix}-${index}`);
      if (!accepted) {
        this.options.writeError(
          `Stopped at change ${index + 1} of ${changes.length}; repeat with --change-id ${prefix}`,
        );
        return;
      }
    }
  }

  private async submitChange(change: unknown): Promise<void> {
    await this.submit(change);
  }

  /** Submits a change. Returns whether it was accepted or committed. */
  private async submit(change: unknown, changeId?: string): Promise<boolean> {
    const {author} = this.globalOptions;
    const id = changeId ?? this.globalOptions.changeId ?? randomUUID();
    const body = {changeId: id, author, change};
    const response = await this.connection().post('/changes', body);
    const accepted = this.printResponse(response);
    if (!accepted && this.exitCode === CLIENT_EXIT_CODES.unreachable) {
      this.options.writeError(`Repeat with --change-id ${id}`);
    }
    return accepted;
  }

  private async listEntities(collection: string): Promise<void> {
    await this.fetchAndPrint(`/authority/${collection}`);
  }

  private async showEntity(
    collection: string,
    name: string,
    value: string,
  ): Promise<void> {
    const response = await this.connection().get(`/authority/${collection}`);
    if (response.kind === 'unreachable' || response.status !== 200) {
      this.printResponse(response);
      return;
    }
    const {entities} = response.body as {entities: Record<string, unknown>[]};
    const entity = entities.find(candidate => candidate[name] === value);
    if (entity !== undefined) {
      this.writeJson(entity);
      return;
    }
    this.options.writeError(`There is no "${value}" among the ${collection}`);
    this.exitCode = CLIENT_EXIT_CODES.refused;
  }

  private async fetchAndPrint(path: string): Promise<void> {
    this.printResponse(await this.connection().get(path));
  }

  /** Asks an entry host; its metrics port needs no token and gets none. */
  private async explain(path: string, isJson: boolean): Promise<void> {
    const isDefault = this.program.getOptionValueSource('host') === 'default';
    const host = isDefault ? DEFAULT_EXPLAIN_ADDRESS : this.globalOptions.host;
    const addresses = host.split(',').map(withScheme);
    const response = await new OperatorConnection({addresses}).get(path);
    if (response.kind === 'unreachable' || response.status >= 400 || isJson) {
      this.printResponse(response);
      return;
    }
    this.options.write(formatExplanation(response.body as RequestExplanation));
  }

  private printResponse(response: OperatorResponse): boolean {
    if (response.kind === 'unreachable') {
      this.options.writeError(`No host answered: ${response.reason}`);
      this.exitCode = CLIENT_EXIT_CODES.unreachable;
      return false;
    }
    if (response.status >= 400) {
      const {error} = response.body as {
        error?: {code: string; message: string; step?: string};
      };
      const step =
        error?.step === undefined ? '' : ` at the step ${error.step}`;
      this.options.writeError(`${error?.code}${step}: ${error?.message}`);
      this.exitCode = CLIENT_EXIT_CODES.refused;
      return false;
    }
    this.writeJson(response.body);
    const {status} = response.body as {status?: unknown};
    if (response.status === 202 && status === 'committed') {
      this.exitCode = CLIENT_EXIT_CODES.deliveryPending;
    }
    return true;
  }

  private writeJson(value: unknown): void {
    this.options.write(JSON.stringify(value, null, 2));
  }

  private connection(): OperatorConnection {
    const {host, token} = this.globalOptions;
    if (token === undefined) {
      throw new Error('Give the operator token by --token or LIMPETDALE_TOKEN');
    }
    return new OperatorConnection({addresses: host.split(','), token});
  }

  private get globalOptions(): GlobalOptions {
    return this.program.opts<GlobalOptions>();
  }
}

function expectedRevision(text: string | undefined): object {
  if (text === undefined) return {};
  const revision = Number(text);
  if (!Number.isInteger(revision) || revision < 0) {
    throw new Error(
      `"--expected-revision" must be a whole number, received "${text}"`,
    );
  }
  return {expectedRevision: revision === 0 ? null : revision};
}
