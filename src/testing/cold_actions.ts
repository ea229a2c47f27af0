import {type ColdFleet, COLD_MILLISECONDS} from './cold_fleet.ts';

/** Name of an action of {@link COLD_ACTIONS}. */
export type ColdAction = keyof typeof COLD_ACTIONS;

const INTERVALS = {restart: 150, freeze: 100} as const;

/** What happens to the engine and the hosts of a {@link ColdFleet}. */
export const COLD_ACTIONS = {
  /** The engine starts; all hosts learn of it at once. */
  start: fleet => fleet.write(1, COLD_MILLISECONDS),
  startUnevenly: fleet =>
    fleet.write(1, COLD_MILLISECONDS, host => (host * 53) % 300),
  /** The update is lost for some hosts, which then ask for the table. */
  startLate: fleet =>
    fleet.write(1, COLD_MILLISECONDS, host => (host % 3 === 0 ? 2000 : 0)),
  startWarm: fleet => fleet.write(1, 0),
  turnCold: fleet => fleet.write(1, COLD_MILLISECONDS, () => 300),
  stopEngine: fleet => {
    fleet.isDown = true;
  },
  /** The engine starts under the same id, and every other host misses its row. */
  restartUntold: fleet => {
    fleet.isDown = false;
    fleet.write(2, COLD_MILLISECONDS, host => (host % 2 === 0 ? 0 : undefined));
  },
  /** Each host sends a request. */
  tryAll: fleet => {
    for (let host = 0; host < fleet.size; host++) void fleet.request(host);
  },
  /** Requests can wait long, so permits are granted as far ahead as is allowed. */
  letRequestsWait: fleet => {
    fleet.objectiveMilliseconds = 5000;
  },
  restartAll: fleet => {
    for (let host = 0; host < fleet.size; host++) fleet.restart(host);
  },
  restartInTurn: fleet =>
    inTurn(fleet, INTERVALS.restart, host => fleet.restart(host)),
  /** Each holds permits when it freezes, for which its former share of requests grows. */
  freezeInTurn: fleet =>
    inTurn(fleet, INTERVALS.freeze, host => {
      if (host !== fleet.granter) fleet.freeze(host);
    }),
  freezeAll: fleet => {
    for (let host = 0; host < fleet.size; host++) fleet.freeze(host);
  },
  freezeGranter: fleet => fleet.freeze(fleet.granter),
  killGranter: fleet => fleet.kill(fleet.granter),
  thaw: fleet => {
    for (let host = 0; host < fleet.size; host++) fleet.thaw(host);
  },
  splitInHalves: fleet => fleet.split(host => host % 2),
  cutOffGranter: fleet => {
    const {granter} = fleet;
    fleet.split(host => (host === granter ? 1 : 0));
  },
  heal: fleet => {
    fleet.group = () => 0;
  },
  /** All hosts take another host for the granter. */
  hideGranter: fleet => {
    const {granter} = fleet;
    fleet.hiddenFrom = () => granter;
  },
  showGranterToHalf: fleet => {
    const granter = fleet.hiddenFrom(0);
    fleet.hiddenFrom = host =>
      host % 2 === 0 || host === granter ? undefined : granter;
  },
  showGranter: fleet => {
    fleet.hiddenFrom = () => undefined;
  },
} satisfies Record<string, (fleet: ColdFleet) => void>;

function inTurn(
  fleet: ColdFleet,
  interval: number,
  act: (host: number) => void,
): void {
  const count = Math.min(fleet.size, 59);
  for (let host = 0; host < count; host++)
    fleet.clock.startTimer(host * interval, () => act(host));
}
