/**
 * Marks the unreachable branch of an exhaustive switch.
 *
 * @throws {Error} Always, with the unexpected value.
 */
export function unreachable(value: never): never {
  throw new Error(`Unexpected value: ${JSON.stringify(value)}`);
}
