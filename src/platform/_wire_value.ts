/** A JSON object received from the platform, with unchecked fields. */
export type WireObject = Readonly<Record<string, unknown>>;

/** Whether a value is a JSON object. */
export function isWireObject(value: unknown): value is WireObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns a string value; the empty string for any other type. */
export function stringOf(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

/** Returns a finite number value; `fallback` for anything else. */
export function numberOf(value: unknown, fallback = 0): number {
  return typeof value === 'number' && Number.isFinite(value) ? value : fallback;
}

/** Returns the objects in an array; an empty array for any other type. */
export function objectsOf(value: unknown): readonly WireObject[] {
  return Array.isArray(value) ? value.filter(isWireObject) : [];
}

/** Returns the strings in an array; an empty array for any other type. */
export function stringsOf(value: unknown): readonly string[] {
  if (!Array.isArray(value)) return [];
  return value.filter((item): item is string => typeof item === 'string');
}
