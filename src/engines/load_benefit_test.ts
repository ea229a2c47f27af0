import {describe, expect, test} from 'vitest';
import {loadBenefit, type ModelDemand} from './mod.ts';

const demand = (more: Partial<ModelDemand>): ModelDemand => ({
  waiting: 1,
  timely: more.waiting ?? 1,
  waitingForAdapters: 0,
  returning: 0,
  priority: 1,
  waitedMilliseconds: 0,
  unmetMilliseconds: 0,
  ratePerSecond: 0,
  ...more,
});

describe('loadBenefit', () => {
  // Guards against starvation of either kind when demand moves to another model
  // while single requests for rarely used models keep arriving.
  const cases = [
    {
      name: 'many requests take precedence over one',
      first: demand({waiting: 5}),
      second: demand({}),
    },
    {
      name: 'a busy model takes precedence over a rarely used one of equal priority',
      first: demand({ratePerSecond: 3}),
      second: demand({}),
    },
    {
      name: 'a request of higher priority takes precedence over one of lower priority',
      first: demand({priority: 0}),
      second: demand({priority: 2}),
    },
    {
      name: 'a request that has waited long takes precedence over a few new ones',
      first: demand({waitedMilliseconds: 8000}),
      second: demand({waiting: 3}),
    },
    {
      // On the recorded day quiet-1 of Kaplama, half of the quote drafts were
      // late because requests that were already late were served first.
      name: 'a request that can be on time takes precedence over a late one',
      first: demand({waitedMilliseconds: 500}),
      second: demand({timely: 0, waitedMilliseconds: 2000}),
    },
    {
      name: 'a late request that has waited long takes precedence over a new one',
      first: demand({timely: 0, waitedMilliseconds: 8000}),
      second: demand({}),
    },
  ];
  test.each(cases)('$name', ({first, second}) => {
    expect(loadBenefit(first)).toBeGreaterThan(loadBenefit(second));
  });
});
