import {isOfOwnEra, type ObservedRow} from './_observed_row.ts';

/**
 * Number of epochs of each era of the store, and bound of the versions in one. Leaves
 * room for 2,047 eras, since engines get epochs as JSON numbers.
 */
const EPOCHS_PER_ERA = 2 ** 42;

/**
 * Epoch for the holder that replaces a row of a lease. It is above all epochs given out
 * before, also above those whose rows the store has lost: each era has a range of its
 * own, and a version of the row can be replaced once in an era.
 *
 * @returns undefined if the era or the version is too high for an epoch.
 */
export function nextEpoch(row: ObservedRow): number | undefined {
  const first = row.era * EPOCHS_PER_ERA;
  // A late transaction of an older era may have replaced the row of a holder of this
  // era. Versions grow at least as fast as epochs, so that holder's epoch is lower.
  const epochOfRow = isOfOwnEra(row) ? row.content.epoch : -1;
  const epoch = (epochOfRow >= first ? epochOfRow : first + row.version) + 1;
  const isInRange = epoch < first + EPOCHS_PER_ERA;
  return isInRange && Number.isSafeInteger(epoch) ? epoch : undefined;
}
