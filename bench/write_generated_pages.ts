import {writeFileSync} from 'node:fs';
import {renderEntrySettings} from '../src/entry/render_entry_settings.ts';
import {renderEventCatalogue} from '../src/observability/mod.ts';
import {renderSettingsReference} from '../src/settings/render_settings_reference.ts';

/** Writes the pages of docs/ that are generated from the source. */
const PAGES = {
  'events.md': renderEventCatalogue(),
  'entry_settings.md': renderEntrySettings(),
  'settings.md': renderSettingsReference(),
} as const;

for (const [name, content] of Object.entries(PAGES)) {
  writeFileSync(new URL(`../docs/${name}`, import.meta.url), content);
}
