import type {SeededRandom} from '../bench/_seeded_random.ts';

/** What can happen to a host. */
export const HOST_FAULTS = ['kill', 'stop', 'pause', 'reload'] as const;

/** What can happen to the store. */
export const STORE_FAULTS = [
  'busy',
  'reset',
  'silent',
  'lost_writes',
  'restored',
  'history_lost',
] as const;

const ANY_ENDPOINT_FAULTS = [
  'restart',
  'loses_answer',
  'answers_other',
  'sheds',
  'fails',
] as const;

/** What can happen to endpoints, by the kind of their answers. */
export const ENDPOINT_FAULTS = {
  engine: [...ANY_ENDPOINT_FAULTS, 'cuts_stream'],
  plain: [...ANY_ENDPOINT_FAULTS, 'cuts_body', 'extra_answer'],
} as const;

/** Kinds of endpoints. */
export type EndpointKind = keyof typeof ENDPOINT_FAULTS;

/** A fault that is going to happen. */
export type PlannedFault =
  | {
      readonly subject: 'host';
      readonly kind: (typeof HOST_FAULTS)[number];
      readonly index: number;
      readonly at: number;
      readonly forMilliseconds: number;
    }
  | {
      readonly subject: 'store';
      readonly kind: (typeof STORE_FAULTS)[number];
      readonly at: number;
      readonly forMilliseconds: number;
      /** Age of the copy from which the store comes back. */
      readonly ageMilliseconds: number;
    }
  | {
      readonly subject: 'endpoint';
      readonly kind: (typeof ENDPOINT_FAULTS)[EndpointKind][number];
      readonly index: number;
      readonly at: number;
      readonly forMilliseconds: number;
    }
  | {
      readonly subject: 'keys';
      readonly at: number;
    }
  /** All hosts are killed at once. */
  | {
      readonly subject: 'fleet';
      readonly at: number;
      readonly forMilliseconds: number;
    };

/** Options of {@link drawFaults}. */
export interface FaultPlanOptions {
  random: SeededRandom;
  milliseconds: number;
  hosts: number;
  endpoints: readonly EndpointKind[];
}

/** Time before the first fault. */
const CALM_MILLISECONDS = 2000;

/** Mean time between the faults of each series. */
const MEAN_GAP_MILLISECONDS = {
  host: 1500,
  store: 6000,
  endpoint: 3000,
  keys: 10_000,
  fleet: 12_000,
} as const;

/** Shortest and longest fault. */
const FAULT_MILLISECONDS = {minimum: 200, maximum: 3500} as const;

const COPY_AGE_MILLISECONDS = {minimum: 500, maximum: 6000} as const;

/** Draws series of faults, which overlap; oldest first. */
export function drawFaults(options: FaultPlanOptions): readonly PlannedFault[] {
  const {random, milliseconds, hosts, endpoints} = options;
  const series = (meanGap: number): number[] => {
    const times: number[] = [];
    let at = CALM_MILLISECONDS + random.exponential(meanGap);
    while (at < milliseconds) {
      times.push(at);
      at += random.exponential(meanGap);
    }
    return times;
  };
  const duration = () =>
    random.integer(FAULT_MILLISECONDS.minimum, FAULT_MILLISECONDS.maximum);
  const faults: PlannedFault[] = [
    ...series(MEAN_GAP_MILLISECONDS.host).map(at => ({
      subject: 'host' as const,
      kind: random.pick(HOST_FAULTS),
      index: random.integer(0, hosts - 1),
      at,
      forMilliseconds: duration(),
    })),
    ...series(MEAN_GAP_MILLISECONDS.store).map(at => ({
      subject: 'store' as const,
      kind: random.pick(STORE_FAULTS),
      at,
      forMilliseconds: duration(),
      ageMilliseconds: random.integer(
        COPY_AGE_MILLISECONDS.minimum,
        COPY_AGE_MILLISECONDS.maximum,
      ),
    })),
    ...series(MEAN_GAP_MILLISECONDS.endpoint).map(at => {
      const index = random.integer(0, endpoints.length - 1);
      return {
        subject: 'endpoint' as const,
        kind: random.pick(ENDPOINT_FAULTS[endpoints[index] ?? 'plain']),
        index,
        at,
        forMilliseconds: duration(),
      };
    }),
    ...series(MEAN_GAP_MILLISECONDS.keys).map(at => ({
      subject: 'keys' as const,
      at,
    })),
    ...series(MEAN_GAP_MILLISECONDS.fleet).map(at => ({
      subject: 'fleet' as const,
      at,
      forMilliseconds: duration(),
    })),
  ];
  return faults.sort((left, right) => left.at - right.at);
}
