import {createHash} from 'node:crypto';

/** SHA-256 digest of a secret, in hexadecimal. */
export function digestSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}
