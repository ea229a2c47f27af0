/** What the row of a lease says. */
export interface LeaseContent {
  readonly holder: string;
  readonly incarnation: string;
  readonly epoch: number;
  /** Whether the holder has given the lease up. */
  readonly released: boolean;
  /** Whether the turn of the holder has begun, so that it may have given orders. */
  readonly active: boolean;
}

/** Bytes of the row. */
export function encodeLease(content: LeaseContent): Buffer {
  return Buffer.from(JSON.stringify(content));
}

/** Reads the row; undefined when it is no lease. */
export function decodeLease(
  value: Buffer | undefined,
): LeaseContent | undefined {
  if (value === undefined) return undefined;
  try {
    const content = JSON.parse(value.toString()) as Partial<LeaseContent>;
    return {
      holder: content.holder ?? '',
      incarnation: content.incarnation ?? '',
      epoch: content.epoch ?? 0,
      released: content.released ?? false,
      active: content.active ?? true,
    };
  } catch {
    // Only this module writes the row; a damaged one counts as no lease.
    return undefined;
  }
}
