import {renderSettingsTable} from '../settings/render_settings_reference.ts';
import {entrySettingsSchema} from './entry_settings.ts';

const INTRODUCTION = `# Settings of an entry host on the users' platform

Reference of the JSON file whose path is in \`LIMPETDALE_BOOT\` or after \`--settings\`. \`--check-settings\` checks it and exits with 0, or names every wrong setting with its path and value and exits with 2. On the platform, \`deploy/settings.json.template\` makes the file. Nothing in it can change while the process runs: SIGHUP reads it again and reports problems. This page is generated from \`src/entry/entry_settings.ts\` by \`npm run docs\`.

| setting | type | default | meaning |
|---|---|---|---|
`;

/** Renders docs/entry_settings.md from the schema. */
export function renderEntrySettings(): string {
  return INTRODUCTION + renderSettingsTable(entrySettingsSchema);
}
