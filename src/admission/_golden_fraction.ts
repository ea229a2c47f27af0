/** Fraction whose multiples, modulo 1, are spread evenly for any number of them. */
export const GOLDEN_FRACTION = 0.618_034;
