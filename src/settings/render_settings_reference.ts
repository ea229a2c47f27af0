import {z} from 'zod';
import {settingsSchema} from './settings.ts';

interface SchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: SchemaNode;
  readonly enum?: readonly unknown[];
  readonly anyOf?: readonly SchemaNode[];
  readonly format?: string;
  readonly minimum?: number;
  readonly exclusiveMinimum?: number;
  readonly maximum?: number;
  readonly pattern?: string;
}

const INTRODUCTION = `# Settings

Reference of the JSON file that \`limpetdaled --settings FILE\` reads. \`limpetdaled --check-settings --settings FILE\` validates it and exits with 0, or reports every invalid setting with its path and value and exits with 2. Unknown settings are errors. This page is generated from \`src/settings/settings.ts\` by \`npm run docs\`.

| setting | type | default | meaning |
|---|---|---|---|
`;

/** Renders the content of docs/settings.md from the settings schema. */
export function renderSettingsReference(): string {
  return INTRODUCTION + renderSettingsTable(settingsSchema);
}

/** Renders the rows of a Markdown table, one per setting of a schema. */
export function renderSettingsTable(schema: z.ZodType): string {
  const node = z.toJSONSchema(schema, {io: 'input'}) as SchemaNode;
  return renderProperties(node, '').join('\n') + '\n';
}

function renderProperties(node: SchemaNode, prefix: string): string[] {
  return Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const path = `${prefix}${name}`;
    const isRequired = node.required?.includes(name) ?? false;
    return [
      renderRow(path, child, isRequired),
      ...renderProperties(child, `${path}.`),
    ];
  });
}

function renderRow(
  path: string,
  node: SchemaNode,
  isRequired: boolean,
): string {
  const value =
    node.default === undefined
      ? isRequired
        ? 'required'
        : 'none'
      : `\`${JSON.stringify(node.default)}\``;
  return `| \`${path}\` | ${describeType(node)} | ${value} | ${node.description ?? ''} |`;
}

function describeType(node: SchemaNode): string {
  if (node.enum !== undefined) {
    return node.enum.map(value => `\`${String(value)}\``).join(' or ');
  }
  if (node.anyOf !== undefined) {
    return [...new Set(node.anyOf.map(describeType))].join(' or ');
  }
  if (node.type === 'array') return `list of ${describeType(node.items ?? {})}`;
  if (node.format !== undefined) return `${node.format} address`;
  return `${node.type ?? 'any'}${describeRange(node)}`;
}

function describeRange(node: SchemaNode): string {
  const lower =
    node.exclusiveMinimum === undefined
      ? node.minimum
      : `more than ${node.exclusiveMinimum}`;
  // The schema gives integers without a stated bound the range of safe integers.
  const upper =
    node.maximum === Number.MAX_SAFE_INTEGER ? undefined : node.maximum;
  if (lower === undefined && upper === undefined) return '';
  if (upper === undefined) return `, ${lower}`;
  return `, ${lower} to ${upper}`;
}
