import type {Got} from 'got';
import {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import {
  createHttpClient,
  type PlatformClientOptions,
  postJson,
} from './_post_json.ts';
import {HOST_STATES, type HostList, type ListedHost} from './host_list.ts';
import type {PlatformError} from './platform_error.ts';

const listSchema = z.object({
  hosts: z.array(z.object({name: z.string(), state: z.enum(HOST_STATES)})),
});

/** {@link HostList} over HTTP and JSON. */
export class HttpHostList implements HostList {
  private readonly client: Got;
  private readonly address: string;

  constructor(options: PlatformClientOptions) {
    this.client = createHttpClient(options);
    this.address = options.address;
  }

  async list(): Promise<Result<readonly ListedHost[], PlatformError>> {
    const step = 'list_hosts';
    const peer = this.address;
    const answer = await postJson(this.client, step, peer, 'hosts', {});
    if (!answer.ok) return answer;
    const parsed = listSchema.safeParse(answer.value);
    if (parsed.success) return success(parsed.data.hosts);
    const reason = z.prettifyError(parsed.error);
    return failure({kind: 'invalid_answer', step, peer, reason});
  }
}
