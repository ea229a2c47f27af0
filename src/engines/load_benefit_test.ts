import {describe, expect, test} from 'vitest';
import {loadBenefit, type ModelDemand} from './mod.ts';

const demand = (more: Partial<ModelDemand>): ModelDemand => ({
  waiting: 1,
  timely: more.waiting ?? 1,
  waitingForAdapters: 0,
  priority: 1,
  waitedMilliseconds: 0,
  ratePerSecond: 0,
  ...more,
});

describe('loadBenefit', () => {
  // Pattern: demand moves to another model while single requests for rare
  // models keep coming. Guards against either of them starving the other.
  const cases = [
    {
      name: 'many requests go before one',
      first: demand({waiting: 5}),
      second: demand({}),
    },
    {
      name: 'a model in demand goes before an equally urgent rare one',
      first: demand({ratePerSecond: 3}),
      second: demand({}),
    },
    {
      name: 'a more urgent request goes before an equal one',
      first: demand({priority: 0}),
      second: demand({priority: 2}),
    },
    {
      name: 'a request that has waited long goes before some new ones',
      first: demand({waitedMilliseconds: 8000}),
      second: demand({waiting: 3}),
    },
    {
      // Seen on quiet-1 of Kaplama: half of the quote drafts were late, since
      // those that had become late were served before those that had not.
      name: 'a request that can be punctual goes before one that is late',
      first: demand({waitedMilliseconds: 500}),
      second: demand({timely: 0, waitedMilliseconds: 2000}),
    },
    {
      name: 'a late request that has waited long goes before a new one',
      first: demand({timely: 0, waitedMilliseconds: 8000}),
      second: demand({}),
    },
  ];
  test.each(cases)('$name', ({first, second}) => {
    expect(loadBenefit(first)).toBeGreaterThan(loadBenefit(second));
  });
});
