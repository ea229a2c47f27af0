import type {Got} from 'got';
import {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import {
  createHttpClient,
  type PlatformClientOptions,
  postJson,
} from './_post_json.ts';
import type {PlatformError} from './platform_error.ts';
import type {Checkpoint, WeightStore} from './weight_store.ts';

const listSchema = z.object({
  checkpoints: z.array(
    z.object({
      name: z.string(),
      version: z.string(),
      megabytes: z.number().nonnegative(),
    }),
  ),
});

/** {@link WeightStore} over HTTP and JSON. */
export class HttpWeightStore implements WeightStore {
  private readonly client: Got;
  private readonly address: string;

  constructor(options: PlatformClientOptions) {
    this.client = createHttpClient(options);
    this.address = options.address;
  }

  async list(): Promise<Result<readonly Checkpoint[], PlatformError>> {
    const step = 'list_checkpoints';
    const peer = this.address;
    const answer = await postJson(this.client, step, peer, 'checkpoints', {});
    if (!answer.ok) return answer;
    const parsed = listSchema.safeParse(answer.value);
    if (parsed.success) return success(parsed.data.checkpoints);
    const reason = z.prettifyError(parsed.error);
    return failure({kind: 'invalid_answer', step, peer, reason});
  }
}
