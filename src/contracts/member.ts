import {z} from 'zod';
import {nameSchema} from './_schemas.ts';

/** Schema of {@link Member}. */
export const memberSchema = z.strictObject({
  hostId: nameSchema,
  /** Address at which other hosts connect, such as `ws://127.0.0.1:7200`. */
  peerAddress: z
    .string()
    .regex(
      /^wss?:\/\/[^/\s]+$/,
      'must be an address such as "ws://10.0.0.1:7200"',
    ),
  /** Address at which callers connect, such as `http://127.0.0.1:8080`. */
  callerAddress: z.string().regex(/^https?:\/\/[^/\s]+$/),
  dataCentre: nameSchema,
});

/** An entry host that belongs to the deployment. */
export type Member = z.infer<typeof memberSchema>;
