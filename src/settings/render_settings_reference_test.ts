import {readFileSync} from 'node:fs';
import {expect, test} from 'vitest';
import {renderSettingsReference} from './render_settings_reference.ts';

// Guards against changing a setting without updating its documentation.
test('docs/settings.md matches the schema', () => {
  const page = new URL('../../docs/settings.md', import.meta.url);
  expect(readFileSync(page, 'utf8')).toBe(renderSettingsReference());
});
