import {renderSettingsTable} from '../settings/render_settings_reference.ts';
import {entrySettingsSchema} from './entry_settings.ts';

const INTRODUCTION = `# Settings of an entry host on the users' platform

Reference of the JSON file whose path is in \`LIMPETDALE_BOOT\` or after \`--settings\`. \`--check-settings\` checks it and exits with 0, or reports every invalid setting with its path and value and exits with 2. On the platform, the file is rendered from \`deploy/settings.json.template\`. Settings cannot change while the process runs: SIGHUP only validates the file again and logs its problems. This page is generated from \`src/entry/entry_settings.ts\` by \`npm run docs\`.

| setting | type | default | meaning |
|---|---|---|---|
`;

/** Renders docs/entry_settings.md from the schema. */
export function renderEntrySettings(): string {
  return INTRODUCTION + renderSettingsTable(entrySettingsSchema);
}
