import fc from 'fast-check';
import {unreachable} from '../errors/mod.ts';
import type {SimulatedFleet} from './simulated_fleet.ts';

/** Something that happens to a fleet; hosts are named by their index. */
export type FleetAction =
  | {readonly kind: 'wait'; readonly milliseconds: number}
  | {readonly kind: 'pause'; readonly host: number}
  | {readonly kind: 'resume'; readonly host: number}
  | {readonly kind: 'kill'; readonly host: number; readonly listed: boolean}
  | {readonly kind: 'start'; readonly host: number}
  | {readonly kind: 'restart'; readonly host: number}
  | {readonly kind: 'hand_over'; readonly host: number}
  | {
      /** Only the hosts of side 0 reach the table; the sides are apart. */
      readonly kind: 'split';
      readonly sides: readonly number[];
    }
  | {
      /** Ends all silence and outages. */
      readonly kind: 'heal';
    }
  | {
      readonly kind: 'link';
      readonly host: number;
      readonly other: number;
      readonly silent: boolean;
    }
  | {
      readonly kind: 'isolate';
      readonly host: number;
      readonly silent: boolean;
    }
  | {
      readonly kind: 'cut_from_table';
      readonly host: number;
      readonly cut: boolean;
    }
  | {readonly kind: 'table'; readonly down: boolean}
  | {readonly kind: 'table_delay'; readonly milliseconds: number}
  | {readonly kind: 'table_answers'; readonly lost: number}
  | {readonly kind: 'loss'; readonly share: number}
  | {readonly kind: 'delay'; readonly milliseconds: number}
  | {readonly kind: 'change'; readonly host: number};

/** Arbitrary action on a fleet of `hostCount` hosts. */
export function fleetAction(hostCount: number): fc.Arbitrary<FleetAction> {
  const host = fc.nat(hostCount - 1);
  const kind = <Kind extends FleetAction['kind']>(name: Kind) =>
    fc.constant(name);
  return fc.oneof(
    {
      weight: 8,
      arbitrary: fc.record({
        kind: kind('wait'),
        milliseconds: fc.integer({min: 1, max: 5000}),
      }),
    },
    {weight: 3, arbitrary: fc.record({kind: kind('pause'), host})},
    {weight: 3, arbitrary: fc.record({kind: kind('resume'), host})},
    {
      weight: 3,
      arbitrary: fc.record({kind: kind('kill'), host, listed: fc.boolean()}),
    },
    {weight: 4, arbitrary: fc.record({kind: kind('start'), host})},
    {weight: 3, arbitrary: fc.record({kind: kind('restart'), host})},
    {weight: 1, arbitrary: fc.record({kind: kind('hand_over'), host})},
    {
      weight: 5,
      arbitrary: fc.record({
        kind: kind('split'),
        sides: fc.array(fc.nat(1), {
          minLength: hostCount,
          maxLength: hostCount,
        }),
      }),
    },
    {weight: 1, arbitrary: fc.record({kind: kind('heal')})},
    {
      weight: 2,
      arbitrary: fc.record({
        kind: kind('link'),
        host,
        other: host,
        silent: fc.boolean(),
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({kind: kind('isolate'), host, silent: fc.boolean()}),
    },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: kind('cut_from_table'),
        host,
        cut: fc.boolean(),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({kind: kind('table'), down: fc.boolean()}),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: kind('table_delay'),
        milliseconds: fc.constantFrom(1, 1, 100, 900, 2500),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: kind('table_answers'),
        lost: fc.constantFrom(0, 0, 0.3),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: kind('loss'),
        share: fc.constantFrom(0, 0, 0.2, 0.6),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: kind('delay'),
        milliseconds: fc.constantFrom(1, 1, 100, 700, 2500),
      }),
    },
    {weight: 4, arbitrary: fc.record({kind: kind('change'), host})},
  );
}

/** Carries out actions and checks the fleet while time goes on. */
export class FleetRun {
  /**
   * @param fleet The fleet.
   * @param hostIds Host ids by index.
   * @param random Returns a number in [0, 1) for lost messages.
   * @param check Called at each instant that is looked at; it throws when a
   * property does not hold.
   */
  constructor(
    private readonly fleet: SimulatedFleet,
    private readonly hostIds: readonly string[],
    private readonly random: () => number,
    private readonly check: () => void,
  ) {}

  /** Lets time go on and checks the fleet in small steps. */
  async wait(milliseconds: number): Promise<void> {
    for (let left = milliseconds; left > 0; left -= STEP_MILLISECONDS) {
      await this.fleet.clock.advanceAsync(Math.min(left, STEP_MILLISECONDS));
      this.check();
    }
  }

  /** Carries out one action; an action that does not apply does nothing. */
  async apply(action: FleetAction): Promise<void> {
    const {fleet, hostIds} = this;
    switch (action.kind) {
      case 'wait':
        await this.wait(action.milliseconds);
        break;
      case 'pause':
        fleet.hosts.get(hostIds[action.host]!)?.clock.pause();
        break;
      case 'resume':
        // The process may act before its overdue timers have run.
        fleet.hosts.get(hostIds[action.host]!)?.clock.resume(this.check);
        break;
      case 'kill':
        if (!fleet.hosts.has(hostIds[action.host]!)) break;
        fleet.kill(hostIds[action.host]!);
        if (action.listed) fleet.hostList.set(hostIds[action.host]!, 'gone');
        break;
      case 'start':
        if (fleet.hosts.has(hostIds[action.host]!)) break;
        fleet.hostList.delete(hostIds[action.host]!);
        fleet.start(hostIds[action.host]!);
        break;
      case 'restart':
        await this.apply({...action, kind: 'kill', listed: false});
        await this.apply({...action, kind: 'start'});
        break;
      case 'split':
        fleet.split(hostIds, action.sides);
        break;
      case 'heal':
        fleet.split(
          hostIds,
          hostIds.map(() => 0),
        );
        fleet.table.down = false;
        break;
      case 'hand_over':
        void fleet.hosts.get(hostIds[action.host]!)?.leases.releaseAll(5000);
        break;
      case 'link':
        fleet.network.setSilent(
          hostIds[action.host]!,
          hostIds[action.other]!,
          action.silent,
        );
        break;
      case 'isolate':
        fleet.network.isolate(
          hostIds[action.host]!,
          action.silent,
          fleet.startedHostIds,
        );
        break;
      case 'cut_from_table':
        if (action.cut) fleet.cutFromTable.add(hostIds[action.host]!);
        else fleet.cutFromTable.delete(hostIds[action.host]!);
        break;
      case 'table':
        fleet.table.down = action.down;
        break;
      case 'table_delay':
        fleet.tableDelayMilliseconds = action.milliseconds;
        break;
      case 'table_answers':
        fleet.table.losesAnswer = () => this.random() < action.lost;
        break;
      case 'loss':
        fleet.network.losesMessage = () => this.random() < action.share;
        break;
      case 'delay':
        fleet.network.delayOf = () => 1 + this.random() * action.milliseconds;
        break;
      case 'change':
        this.change(hostIds[action.host]!);
        break;
      default:
        unreachable(action);
    }
    this.check();
  }

  private change(hostId: string): void {
    const host = this.fleet.hosts.get(hostId);
    if (host === undefined || !host.clock.isRunning) return;
    void this.fleet.change(hostId).then(result => {
      // As for an operator, whose answer says whether the change is in effect.
      if (result.kind !== 'committed') return;
      void host.membership.effect.waitUntilInEffect(result.version, 5000);
    });
  }
}

/** Milliseconds between two checks. */
const STEP_MILLISECONDS = 25;
