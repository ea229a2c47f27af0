import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {ByteBudget, type ByteReservation} from './mod.ts';

const LIMIT_BYTES = 100;

describe('ByteBudget', () => {
  test('one holder leaves half of the budget to the others', () => {
    const budget = new ByteBudget(LIMIT_BYTES);
    const first = budget.open('a');
    expect(first.grow(50)).toBe(true);
    expect(budget.open('a').grow(1)).toBe(false);
    expect(budget.open('b').grow(50)).toBe(true);
    expect(budget.open('c').grow(1)).toBe(false);
    first.release();
    first.release();
    expect(budget.reservedBytes).toBe(50);
    expect(first.grow(1)).toBe(false);
    expect(budget.open('c').grow(50)).toBe(true);
  });

  // Guards against bytes that are in memory and that nobody counts.
  test('bytes that are held already count without room, and can be given back in parts', () => {
    const budget = new ByteBudget(LIMIT_BYTES);
    const reservation = budget.open('a');
    expect(reservation.add(40)).toBe(true);
    expect(budget.isScarce).toBe(false);
    expect(reservation.add(40)).toBe(false);
    expect(budget.isScarce).toBe(true);
    expect(budget.heldBy('a')).toBe(80);
    expect(budget.open('b').grow(30)).toBe(false);
    reservation.shrink(50);
    expect(budget.reservedBytes).toBe(30);
    reservation.release();
    reservation.shrink(10);
    expect(reservation.add(10)).toBe(false);
    expect(budget.reservedBytes).toBe(0);
    expect(budget.heldBy('a')).toBe(0);
  });

  // Guards against a budget that leaks, so that a host refuses requests for ever.
  test('any order of reservations and releases keeps the sum and the limit', () => {
    const step = fc.record({
      message: fc.nat(5),
      bytes: fc.nat(40),
      ends: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        const budget = new ByteBudget(LIMIT_BYTES);
        const open = new Map<number, ByteReservation>();
        const sums = new Map<number, number>();
        for (const {message, bytes, ends} of steps) {
          const reservation =
            open.get(message) ?? budget.open(`holder-${message % 2}`);
          open.set(message, reservation);
          if (ends) {
            reservation.release();
            open.delete(message);
            sums.delete(message);
          } else if (reservation.grow(bytes)) {
            sums.set(message, (sums.get(message) ?? 0) + bytes);
          }
          const sum = [...sums.values()].reduce((a, b) => a + b, 0);
          expect(budget.reservedBytes).toBe(sum);
          expect(sum).toBeLessThanOrEqual(LIMIT_BYTES);
        }
        for (const reservation of open.values()) reservation.release();
        expect(budget.reservedBytes).toBe(0);
      }),
      {seed: 1, numRuns: 500},
    );
  });
});
