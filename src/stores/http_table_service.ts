import type {Got} from 'got';
import {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import {
  createHttpClient,
  describeHttpFailure,
  type PlatformClientOptions,
  postJson,
} from './_post_json.ts';
import type {JsonValue} from './json_value.ts';
import type {PlatformError, PlatformStep} from './platform_error.ts';
import type {
  CommitResult,
  ScanOptions,
  TableRow,
  TableService,
  TableTransaction,
} from './table_service.ts';

const rowSchema = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.custom<JsonValue>(value => value !== undefined),
});
const readSchema = z.object({rows: z.array(rowSchema.nullable())});
const scanSchema = z.object({rows: z.array(rowSchema)});
const commitSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('committed')}),
  z.object({kind: z.literal('conflict'), keys: z.array(z.string())}),
]);

const DEFAULT_SCAN_LIMIT = 500;

/** {@link TableService} over HTTP and JSON. */
export class HttpTableService implements TableService {
  private readonly client: Got;
  private readonly address: string;

  constructor(options: PlatformClientOptions) {
    this.client = createHttpClient(options);
    this.address = options.address;
  }

  async read(
    keys: readonly string[],
  ): Promise<Result<readonly (TableRow | undefined)[], PlatformError>> {
    const answer = await this.post('read', 'read', {keys});
    if (!answer.ok) return answer;
    const parsed = readSchema.safeParse(answer.value);
    if (!parsed.success) return this.invalidAnswer('read', parsed.error);
    return success(parsed.data.rows.map(row => row ?? undefined));
  }

  async scan(
    prefix: string,
    options: ScanOptions = {},
  ): Promise<Result<readonly TableRow[], PlatformError>> {
    const limit = options.limit ?? DEFAULT_SCAN_LIMIT;
    const body = {prefix, after: options.after, limit};
    const answer = await this.post('scan', 'scan', body);
    if (!answer.ok) return answer;
    const parsed = scanSchema.safeParse(answer.value);
    if (!parsed.success) return this.invalidAnswer('scan', parsed.error);
    return success(parsed.data.rows);
  }

  async commit(transaction: TableTransaction): Promise<CommitResult> {
    const peer = this.address;
    try {
      const response = await this.client.post('commit', {json: transaction});
      // The service refuses with 503 before it starts a transaction.
      if (response.statusCode === 503) {
        const reason = 'HTTP status 503';
        return {
          kind: 'unavailable',
          error: {kind: 'unavailable', step: 'commit', peer, reason},
        };
      }
      if (response.statusCode !== 200) {
        const reason = `HTTP status ${response.statusCode}`;
        return {kind: 'uncertain', peer, reason};
      }
      return commitSchema.parse(JSON.parse(response.body));
    } catch (error) {
      const {reason, mayHaveBeenReceived: mayHaveArrived} =
        describeHttpFailure(error);
      if (mayHaveArrived) return {kind: 'uncertain', peer, reason};
      return {
        kind: 'unavailable',
        error: {kind: 'unavailable', step: 'commit', peer, reason},
      };
    }
  }

  private post(step: PlatformStep, path: string, body: unknown) {
    return postJson(this.client, step, this.address, path, body);
  }

  private invalidAnswer(step: PlatformStep, error: z.ZodError) {
    return failure<PlatformError>({
      kind: 'invalid_answer',
      step,
      peer: this.address,
      reason: z.prettifyError(error),
    });
  }
}
