import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import {platformConfiguration} from '../testing/platform_deployment.ts';

/** Time after which the configuration is there. */
const CONFIGURED_AFTER_MILLISECONDS = 200;

let fleet: EntryFleet;

beforeEach(async () => {
  fleet = await EntryFleet.start();
});

afterEach(() => fleet.stop());

describe('callers that come just after the start of a host', () => {
  // Guards against streams that are lost with all hosts: their callers come back as soon
  // as a host listens, and were refused while it read its configuration.
  test.each([
    {name: 'is served once it is known', isThere: true, status: 200},
    {name: 'is refused without one', isThere: false, status: 503},
  ])('a request before the configuration $name', async ({isThere, status}) => {
    await fleet.startEndpoint({id: 'plain-1', service: 'plain'});
    fleet.store.drop('op', 'config');
    const {callerPort} = await fleet.startUnconfiguredHost('host-1');
    const answered = send(callerPort, {path: '/look/x'});
    await new Promise(resolve =>
      setTimeout(resolve, CONFIGURED_AFTER_MILLISECONDS),
    );
    if (isThere) fleet.store.put('op', 'config', platformConfiguration());
    expect((await answered).status).toBe(status);
  });
});
