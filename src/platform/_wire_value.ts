/** A JSON object of the platform before its fields are checked. */
export type WireObject = Readonly<Record<string, unknown>>;

/** Whether a value is a JSON object. */
export function isWireObject(value: unknown): value is WireObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The value as text; empty when it is anything else. */
export function stringOf(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

/** The value as a number, or `fallback` when it is anything else. */
export function numberOf(value: unknown, fallback = 0): number {
  return typeof value === 'number' && Number.isFinite(value) ? value : fallback;
}

/** The objects of a list; empty when it is no list. */
export function objectsOf(value: unknown): readonly WireObject[] {
  return Array.isArray(value) ? value.filter(isWireObject) : [];
}

/** The texts of a list; empty when it is no list. */
export function stringsOf(value: unknown): readonly string[] {
  if (!Array.isArray(value)) return [];
  return value.filter((item): item is string => typeof item === 'string');
}
