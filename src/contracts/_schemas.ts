import {z} from 'zod';

/** Schema of the names of teams, models, pools and other entities. */
export const nameSchema = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/,
    'must be 1 to 128 letters, digits, ".", "_", ":" or "-", and start with a letter or digit',
  );

/**
 * Schema of the revision of an entity: the log version at which it was last
 * set.
 */
export const revisionSchema = z.object({revision: z.number().int().positive()});

/**
 * Schema of an HTTP address without a path, such as `http://127.0.0.1:7001`.
 */
export const addressSchema = z
  .string()
  .regex(
    /^https?:\/\/[^/\s]+$/,
    'must be an address such as "http://127.0.0.1:7001"',
  );
