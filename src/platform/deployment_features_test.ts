import {expect, test} from 'vitest';
import {deploymentFeatures} from './mod.ts';

// Guards against features on deployments that do not call for them.
test.each([
  {names: [], expected: {}},
  {names: ['base', 'engine', 'tenants'], expected: {}},
  {names: ['constructor', 'toString'], expected: {}},
  {
    names: ['base', 'pool'],
    expected: {
      balancing: 'even',
      handover: 'engine',
      replicaLoads: 'parallel',
      unservedRequests: 'refunded',
    },
  },
  {
    names: ['pool', 'pressure'],
    expected: {
      admission: 'ordered',
      balancing: 'even',
      handover: 'engine',
      replicaLoads: 'parallel',
      unservedRequests: 'refunded',
    },
  },
])('a deployment with $names calls for $expected', ({names, expected}) => {
  expect(deploymentFeatures(names)).toEqual(expected);
});
