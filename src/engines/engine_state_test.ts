import {describe, expect, test} from 'vitest';
import type {EndpointRecord} from '../deployment/mod.ts';
import {EngineState, type EngineReport} from './mod.ts';

const RECORD: EndpointRecord = {
  id: 'engine-1',
  rowVersion: 1,
  softwareVersion: 'v1',
  service: 'engines',
  address: '127.0.0.1:1',
  dataCentre: 'zone-a',
  slots: 4,
  state: 'ready',
  startedAt: 1,
  leavesInMilliseconds: undefined,
  coldMilliseconds: 0,
  models: [],
  inMemory: [],
  onDisk: [],
};

const held = (...names: string[]) =>
  names.map(name => ({name, version: 1, adapters: []}));

const report = (
  isBusy: boolean,
  ordersAccepted: number,
  ...names: string[]
): EngineReport => ({
  models: held(...names),
  isBusy,
  ordersAccepted,
  pendingAdapters: [],
});

describe('EngineState', () => {
  // Guards against loading more models than fit (the property LIMIT, violated on
  // the recorded day trouble-1 of Kaplama): a late order of a previous lease
  // holder was in progress, and the report had the current order count but did
  // not list the model being loaded.
  const cases = [
    {name: 'idle', isBusy: false, needsReport: false},
    {name: 'busy with an unknown order', isBusy: true, needsReport: true},
  ];
  test.each(cases)('a report of an engine that is $name', entry => {
    const engine = new EngineState(RECORD);
    engine.applyReport(report(entry.isBusy, 3, 'model-a'));
    expect(engine.needsReport).toBe(entry.needsReport);
    expect(engine.ordersAccepted).toBe(3);
  });

  // Guards against a row written before the last order, as found when the table
  // is read again: it must not add or remove models.
  test('a row does not change the models known from reports and orders', () => {
    const engine = new EngineState(RECORD);
    engine.applyReport(report(false, 5, 'model-a'));
    engine.applyRow({...RECORD, rowVersion: 2, models: held('model-b')});
    expect([...engine.models]).toEqual(['model-a']);
  });

  // Guards against a report made before the last order, which added an evicted
  // model again and dropped the subsequent load (recorded day quiet-1 of
  // Kaplama).
  test('a report with fewer orders than known changes nothing', () => {
    const engine = new EngineState(RECORD);
    engine.applyReport(report(false, 4, 'model-a'));
    engine.ordersAccepted = 6;
    engine.models = new Set(['model-b']);
    expect(engine.applyReport(report(false, 4, 'model-a'))).toBe(false);
    expect([...engine.models]).toEqual(['model-b']);
    expect(engine.needsReport).toBe(true);
  });

  const completionCases = [
    {operation: 'load', rowModels: ['model-a', 'model-b'], isComplete: true},
    {operation: 'load', rowModels: ['model-a'], isComplete: false},
    {operation: 'unload', rowModels: ['model-a'], isComplete: true},
    {operation: 'unload', rowModels: ['model-a', 'model-b'], isComplete: false},
  ] as const;
  test.each(completionCases)(
    'an order to $operation with $rowModels in the row is complete: $isComplete',
    ({operation, rowModels, isComplete}) => {
      const engine = new EngineState(RECORD);
      const before =
        operation === 'load' ? ['model-a'] : ['model-a', 'model-b'];
      engine.applyReport(report(false, 1, ...before));
      engine.pending = {
        operation,
        model: 'model-b',
        tier: undefined,
        startedAt: 0,
        expectedAt: 10,
      };
      engine.applyRow({...RECORD, rowVersion: 2, models: held(...rowModels)});
      expect(engine.pending === undefined).toBe(isComplete);
    },
  );
});
