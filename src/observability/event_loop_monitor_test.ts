import {describe, expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {createEventLogger, EventLoopMonitor, Metrics} from './mod.ts';

/** Clock whose timers run late, as on a busy event loop. */
class LateClock extends ManualClock {
  lateMilliseconds = 0;

  override startTimer(delayMilliseconds: number, callback: () => void) {
    return super.startTimer(
      delayMilliseconds + this.lateMilliseconds,
      callback,
    );
  }
}

interface Case {
  name: string;
  lateMilliseconds: number;
  events: string[];
}

const CASES: Case[] = [
  {name: 'an idle event loop', lateMilliseconds: 0, events: []},
  {name: 'a short delay', lateMilliseconds: 100, events: []},
  {
    name: 'a long delay',
    lateMilliseconds: 800,
    events: ['eventLoopDelayed', 'eventLoopRecovered'],
  },
];

describe('EventLoopMonitor', () => {
  // Guards against overloads that neither a log line nor a metric shows: hosts were
  // seconds behind, and nothing told this from a slow network.
  test.each(CASES)('$name is measured', async ({lateMilliseconds, events}) => {
    const clock = new LateClock();
    const metrics = new Metrics();
    const lines: string[] = [];
    const logger = createEventLogger({
      context: {},
      write: line => lines.push(line),
    });
    const monitor = new EventLoopMonitor({clock, metrics, logger});
    void monitor.run();
    await clock.advanceAsync(1000);
    clock.lateMilliseconds = lateMilliseconds;
    await clock.advanceAsync(2000);
    expect(monitor.delayMilliseconds).toBeCloseTo(lateMilliseconds, -1);
    clock.lateMilliseconds = 0;
    await clock.advanceAsync(10_000);
    expect(monitor.delayMilliseconds).toBeLessThan(1);
    const written = lines.map(
      line => (JSON.parse(line) as {name: string}).name,
    );
    expect(written).toEqual(events);
    expect(await metrics.render()).toContain('event_loop_delay_seconds_count');
    monitor.stop();
  });
});
