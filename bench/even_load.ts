import {
  BALANCING_SCENARIOS,
  BALANCING_SEEDS,
} from '../src/testing/balancing_scenarios.ts';
import {BalancingSimulation} from '../src/testing/balancing_simulation.ts';
import {BALANCING_STRATEGIES} from '../src/testing/balancing_strategies.ts';

/** Prints the table of `docs/design/even_load.md`: `npx tsx bench/even_load.ts`. */
const COLUMNS = [
  ['busiest/mean, whole run', 'busiestToMean', 1],
  ['busiest/mean, moments', 'momentaryBusiestToMean', 1],
  ['rejections, %', 'rejectionShare', 100],
  ['late, %', 'lateShare', 100],
  ['local, %', 'localShare', 100],
  ['prompt kept, %', 'prefixShare', 100],
] as const;

const titles = COLUMNS.map(([title]) => title);
printRow(['hosts', 'engines', 'hot session, %', 'strategy', ...titles]);
printRow(Array.from({length: COLUMNS.length + 4}, () => '---'));
for (const scenario of BALANCING_SCENARIOS) {
  for (const [name, strategy] of Object.entries(BALANCING_STRATEGIES)) {
    const results = BALANCING_SEEDS.map(seed =>
      new BalancingSimulation({...scenario, seed}, strategy).run(),
    );
    const cells = COLUMNS.map(([, column, factor]) => {
      const sum = results.reduce((total, result) => total + result[column], 0);
      const digits = factor === 1 ? 2 : 1;
      return ((sum * factor) / results.length).toFixed(digits);
    });
    const {hosts, engines, hotSessionShare} = scenario;
    printRow([hosts, engines, hotSessionShare * 100, name, ...cells]);
  }
}

function printRow(cells: readonly (number | string)[]): void {
  console.log(`| ${cells.join(' | ')} |`);
}
