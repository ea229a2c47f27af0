import {afterEach, describe, expect, test} from 'vitest';
import {
  chat,
  collect,
  createDeployment,
  startEngine,
  stopServers,
} from '../testing/request_host.ts';

afterEach(stopServers);

const BURST_REQUESTS = 8;

async function runBurstAndOffice(maximumConcurrentRuns: number) {
  const engine = await startEngine({answerTokens: 10});
  const {host, authorization} = createDeployment([engine], [], {
    maximumConcurrentRuns,
  });
  const office = host.authority.addTeam('office', ['model-1'], []);
  const ended: string[] = [];
  const run = async (team: string, key: string) => {
    await collect(host.path.runModel(chat(key)));
    ended.push(team);
  };
  const burst = Array.from({length: BURST_REQUESTS}, () =>
    run('workshop', authorization),
  );
  await Promise.all([...burst, run('office', office)]);
  return {host, engine, ended};
}

describe('teams on one host', () => {
  // Guards against a team that waits for all earlier requests of another team.
  test('a request of one team does not wait for all of another team', async () => {
    const {ended, engine} = await runBurstAndOffice(1);
    expect(engine.runsStarted).toHaveLength(BURST_REQUESTS + 1);
    expect(ended.indexOf('office')).toBeLessThanOrEqual(2);
  });

  // Guards against admission slots that are not released.
  test('every slot is released after a burst', async () => {
    const {host} = await runBurstAndOffice(2);
    expect(host.path.activeRequests()).toBe(0);
    const again = await runBurstAndOffice(2);
    expect(again.ended).toHaveLength(BURST_REQUESTS + 1);
  });
});
