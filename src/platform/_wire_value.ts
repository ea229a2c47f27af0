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

/** Longest cold phase; longer ones on the wire are taken for errors and cut. */
const MAXIMUM_COLD_MILLISECONDS = 600_000;

/** Returns the duration of a cold phase in milliseconds; 0 for an invalid value. */
export function coldMillisecondsOf(value: unknown): number {
  return typeof value === 'number' && value > 0
    ? Math.min(value, MAXIMUM_COLD_MILLISECONDS)
    : 0;
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
