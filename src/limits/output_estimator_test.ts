import {expect, it} from 'vitest';
import {OutputEstimator} from './output_estimator.ts';

const CASES = [
  {
    guardsAgainst: 'an estimate from too few answers',
    lengths: Array.from({length: 19}, () => 10),
    maximum: 500,
    expected: 500,
  },
  {
    guardsAgainst: 'reserving the maximum for short answers',
    lengths: Array.from({length: 40}, () => 10),
    maximum: 500,
    expected: 10,
  },
  {
    guardsAgainst: 'an estimate above the maximum',
    lengths: Array.from({length: 40}, () => 900),
    maximum: 500,
    expected: 500,
  },
  {
    guardsAgainst: 'an estimate that half of the answers exceed',
    lengths: Array.from({length: 100}, (_, index) => index + 1),
    maximum: 500,
    expected: 90,
  },
  {
    guardsAgainst: 'an estimate from outdated lengths',
    lengths: [
      ...Array.from({length: 100}, () => 400),
      ...Array.from({length: 100}, () => 20),
    ],
    maximum: 500,
    expected: 20,
  },
];

it.each(CASES)('prevents $guardsAgainst', ({lengths, maximum, expected}) => {
  const estimator = new OutputEstimator();
  for (const length of lengths) estimator.record('a', 'model', length);
  expect(estimator.estimate('a', 'model', maximum)).toBe(expected);
  // Guards against estimates based on another team's answers.
  expect(estimator.estimate('b', 'model', maximum)).toBe(maximum);
});

it('evicts the least recently used pair', () => {
  const estimator = new OutputEstimator({maximumPairs: 2, minimumAnswers: 1});
  for (const team of ['a', 'b', 'c']) estimator.record(team, 'model', 5);
  expect(estimator.estimate('a', 'model', 50)).toBe(50);
  expect(estimator.estimate('b', 'model', 50)).toBe(5);
});
