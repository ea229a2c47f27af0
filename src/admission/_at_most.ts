/**
 * Places that may become free when a number of them is expected. They come at random
 * times, so that the number varies by about its root.
 */
export function atMost(expected: number): number {
  return expected + Math.sqrt(Math.max(0, expected));
}
