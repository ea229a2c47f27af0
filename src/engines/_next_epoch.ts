import type {LeaseContent} from './_lease_content.ts';

/**
 * Number of epochs of each era of the store, and bound of the versions in one. Leaves
 * room for 2,047 eras, since engines get epochs as JSON numbers.
 */
const EPOCHS_PER_ERA = 2 ** 42;

/** The row that an acquisition replaces. */
export interface ReplacedRow {
  /** Content of the row; undefined if there is none or it cannot be read. */
  readonly content: LeaseContent | undefined;
  /** Version of the row in the given era; 0 if there is none. */
  readonly version: number;
  /** Era of the store in which the row was read and is replaced. */
  readonly era: number;
}

/**
 * Epoch for the holder that replaces a row of a lease. It is above all epochs given out
 * before, also above those whose rows the store has lost: each era has a range of its
 * own, and a version of the row can be replaced once in an era.
 *
 * @returns undefined if the era or the version is too high for an epoch.
 */
export function nextEpoch({
  content,
  version,
  era,
}: ReplacedRow): number | undefined {
  const first = era * EPOCHS_PER_ERA;
  const isOfThisEra =
    content !== undefined && content.era === era && content.epoch >= first;
  // A late transaction of an older era may have replaced the row of a holder of this
  // era. Versions grow at least as fast as epochs, so that holder's epoch is lower.
  const epoch = (isOfThisEra ? content.epoch : first + version) + 1;
  const isInRange = epoch < first + EPOCHS_PER_ERA;
  return isInRange && Number.isSafeInteger(epoch) ? epoch : undefined;
}
