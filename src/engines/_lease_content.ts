/** Content of a lease row. */
export interface LeaseContent {
  readonly holder: string;
  readonly incarnation: string;
  readonly epoch: number;
  /** Era of the store in which the row was written. */
  readonly era: number;
  /** Whether the holder has released the lease. */
  readonly released: boolean;
  /**
   * Whether the handover delay has passed, so that the holder may have sent
   * orders.
   */
  readonly active: boolean;
  /**
   * Time of the store's clock at which the renewal that wrote the row started, at the
   * latest; undefined if the holder does not state it.
   */
  readonly renewedStoreMilliseconds?: number;
}

/** Encodes a lease row as JSON. */
export function encodeLease(content: LeaseContent): Buffer {
  return Buffer.from(JSON.stringify(content));
}

/** Decodes a lease row; undefined if the value is missing or invalid. */
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
      era: content.era ?? 0,
      released: content.released ?? false,
      active: content.active ?? true,
      ...(Number.isFinite(content.renewedStoreMilliseconds)
        ? {renewedStoreMilliseconds: Number(content.renewedStoreMilliseconds)}
        : {}),
    };
  } catch {
    // Only this module writes the row. A damaged row is treated as missing.
    return undefined;
  }
}
