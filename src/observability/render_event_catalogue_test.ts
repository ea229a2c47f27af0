import {readFileSync} from 'node:fs';
import {expect, test} from 'vitest';
import {renderEventCatalogue} from './mod.ts';

// Guards against events that are missing from the operators' reference.
test('docs/events.md matches the catalogue', () => {
  const page = readFileSync(
    new URL('../../docs/events.md', import.meta.url),
    'utf8',
  );
  expect(page, 'Run "npm run docs"').toBe(renderEventCatalogue());
});
