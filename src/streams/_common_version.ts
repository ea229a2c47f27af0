import type {ServiceMode} from './origin_page.ts';
import type {StoredPage} from './origin_store.ts';

/** Moment at which pages were read. */
export interface ReadMoment {
  readonly era: number;
  /** Time of the store's clock; undefined if it is not known. */
  readonly storeMilliseconds: number | undefined;
}

/**
 * Version at which all unrecorded streams of a service have begun, according to the
 * pages of all hosts; undefined if they state several ones or none, or one of them
 * cannot be read.
 */
export function commonVersion(
  pages: readonly StoredPage[],
  service: string,
  {era, storeMilliseconds}: ReadMoment,
): string | undefined {
  let version: string | undefined;
  if (pages.some(({page}) => page === undefined)) return undefined;
  for (const mode of pages.flatMap(stated => modesOf(stated))) {
    if (mode.kind === 'mixed') return undefined;
    if (version !== undefined && mode.version !== version) return undefined;
    version = mode.version;
  }
  return version;

  function modesOf({page}: StoredPage): readonly ServiceMode[] {
    if (page === undefined) return [];
    const own = page.modes[service];
    const former = page.former
      .filter(entry => entry.service === service)
      .filter(
        ({untilStoreMilliseconds}) =>
          storeMilliseconds === undefined ||
          untilStoreMilliseconds > storeMilliseconds,
      )
      .map(({mode}) => mode);
    const modes = own === undefined ? former : [own, ...former];
    // What an older era has stated may have changed in rows that were lost.
    return page.era === era ? modes : modes.map(() => ({kind: 'mixed'}));
  }
}
