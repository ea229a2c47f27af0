import {createHash} from 'node:crypto';
import {z} from 'zod';

/** Schema of {@link StoredResponse}. */
export const storedResponseSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('model'),
    tokens: z.array(z.string()),
    promptTokens: z.number(),
    completionTokens: z.number(),
    finishReason: z.enum(['stop', 'length']),
  }),
  z.object({
    kind: z.literal('service'),
    status: z.number().int(),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    /** The body in base64. */
    body: z.string(),
  }),
]);

/** A complete response, stored to be replayed when its request is repeated. */
export type StoredResponse = z.infer<typeof storedResponseSchema>;

/** Schema of {@link ClaimRow}. */
export const claimRowSchema = z.object({
  /** `released` if the request did not run, so that a repeat may claim the key. */
  state: z.enum(['running', 'answered', 'unknown', 'released']),
  bodyDigest: z.string(),
  requestId: z.string(),
  hostId: z.string(),
  incarnation: z.string(),
  /** Time by which the host has written the outcome; after it, the claim counts as abandoned. */
  runsUntil: z.iso.datetime(),
  /** Time after which the row may be removed. */
  expiresAt: z.iso.datetime(),
  /** Null while there is no response, or if it was too large to store. */
  answer: storedResponseSchema.nullable(),
});

/** Table row that records the run of a request with an idempotency key. */
export type ClaimRow = z.infer<typeof claimRowSchema>;

/** Prefix of the keys of all claim rows. */
export const CLAIM_PREFIX = 'claim/';

/** Key of the claim row of a team's idempotency key. */
export function claimKey(team: string, idempotencyKey: string): string {
  const digest = createHash('sha256').update(idempotencyKey).digest('hex');
  return `${CLAIM_PREFIX}${team}/${digest}`;
}
