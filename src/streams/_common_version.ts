import {modesEndAt, type OriginPage, type ServiceMode} from './origin_page.ts';

/** Circumstances of a question for the version of an unrecorded stream. */
export interface UnrecordedStream {
  readonly service: string;
  /** Whether its caller names it, so that a page that records it would be found. */
  readonly isNamed: boolean;
  /** Era of the store in which the pages were read. */
  readonly era: number;
  /** Time of the store's clock; undefined if it is not known. */
  readonly storeMilliseconds: number | undefined;
  /** Longest time for which a stream can be taken up, if its page does not tell. */
  readonly longestLifeMilliseconds: number;
}

/**
 * Version at which an unrecorded stream has begun, according to the pages of all hosts.
 *
 * Only pages that state a single version speak for streams that they do not name. A
 * complete page in mixed mode names all streams of its process, so it leaves no doubt.
 *
 * @param pages Pages of all hosts; undefined for one that cannot be read.
 * @returns undefined if the pages state several versions or none, or leave doubt.
 */
export function commonVersion(
  pages: readonly (OriginPage | undefined)[],
  stream: UnrecordedStream,
): string | undefined {
  const modes = pages.flatMap(page => modesOf(page, stream));
  const [first] = modes;
  if (first?.kind !== 'single') return undefined;
  const {version} = first;
  return modes.every(mode => mode.kind === 'single' && mode.version === version)
    ? version
    : undefined;
}

/** What a page tells of a stream that it does not name. */
function modesOf(
  page: OriginPage | undefined,
  {
    service,
    isNamed,
    era,
    storeMilliseconds,
    longestLifeMilliseconds,
  }: UnrecordedStream,
): readonly ServiceMode[] {
  if (page === undefined) return [{kind: 'mixed'}];
  const hasEnded =
    storeMilliseconds !== undefined &&
    storeMilliseconds > modesEndAt(page, longestLifeMilliseconds);
  const own = hasEnded ? undefined : page.modes[service];
  const former = page.former
    .filter(
      entry =>
        entry.service === service &&
        (storeMilliseconds === undefined ||
          entry.untilStoreMilliseconds > storeMilliseconds),
    )
    .map(({mode}) => mode);
  const modes = own === undefined ? former : [own, ...former];
  // What an older era has stated may have changed in rows that were lost.
  if (page.era !== era) return modes.map(() => ({kind: 'mixed'}));
  // It may be any of the recorded ones.
  if (!isNamed) return [...modes, ...recordedModes(page, storeMilliseconds)];
  const isSilent = page.namesAll || (own?.kind === 'mixed' && page.isComplete);
  return isSilent ? former : modes;
}

function recordedModes(
  {streams}: OriginPage,
  storeMilliseconds = Number.NEGATIVE_INFINITY,
): readonly ServiceMode[] {
  return streams
    .filter(([, , until]) => until >= storeMilliseconds)
    .map(([, version]) => ({kind: 'single', version}));
}
