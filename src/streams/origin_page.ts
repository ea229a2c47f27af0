import {z} from 'zod';

const version = z.string().max(200);

/** Software versions at which the unrecorded streams of a host can have begun. */
const serviceMode = z.discriminatedUnion('kind', [
  /** All at this one. */
  z.object({kind: z.literal('single'), version}),
  /** Streams at any version are recorded one by one; others may be at any version. */
  z.object({kind: z.literal('mixed')}),
]);

/** Schema of {@link OriginPage}. */
export const originPageSchema = z.object({
  /** Process that has written the page. */
  writer: z.string(),
  /** Era of the store in which the page was written. */
  era: z.number().int().nonnegative(),
  /**
   * Whether the page names all streams of this process that no single mode covers. A
   * complete page in mixed mode tells nothing of streams that it does not name: they
   * are not of this process. Pages of earlier releases are incomplete.
   */
  isComplete: z.boolean().default(false),
  /**
   * Whether the page names even those that a mode covers, since the process ends. Its
   * modes then speak only for callers who do not name their stream.
   */
  namesAll: z.boolean().default(false),
  /** By service. */
  modes: z.record(z.string(), serviceMode),
  /**
   * Longest time from the beginning of a stream that the mode of its service covers until
   * its caller does not come back. Absent from pages of earlier releases.
   */
  longestLifeMilliseconds: z.number().nonnegative().optional(),
  /**
   * Time of the store's clock after which no stream begins under these modes before the
   * page is written anew. Absent from pages of earlier releases, whose modes do not end.
   */
  statedUntilStoreMilliseconds: z.number().optional(),
  /**
   * What is known of unrecorded streams of former processes of the host that may still be
   * alive, up to a time of the store's clock.
   */
  former: z.array(
    z.object({
      service: z.string(),
      mode: serviceMode,
      untilStoreMilliseconds: z.number(),
    }),
  ),
  /** Recorded streams: key, version, and the store's time up to which one may be alive. */
  streams: z.array(z.tuple([z.string().max(64), version, z.number()])),
});

/** What is known of the unrecorded streams of one service on a host. */
export type ServiceMode = z.infer<typeof serviceMode>;

/** Row in which a host keeps at which software versions its streams have begun. */
export type OriginPage = z.infer<typeof originPageSchema>;

/** Encodes a page as JSON. */
export function encodeOriginPage(page: OriginPage): Buffer {
  return Buffer.from(JSON.stringify(page));
}

/** Decodes a page; undefined if it is invalid. */
export function decodeOriginPage(value: Buffer): OriginPage | undefined {
  let json: unknown;
  try {
    json = JSON.parse(value.toString());
  } catch {
    return undefined;
  }
  const parsed = originPageSchema.safeParse(json);
  return parsed.success ? parsed.data : undefined;
}

/**
 * Time by which a host may be late to notice that its modes have ended: it was suspended,
 * which its monotonic clock does not count, or its estimate of the store's clock is off.
 */
const STATEMENT_MARGIN_MILLISECONDS = 15_000;

/**
 * Time of the store's clock after which no stream that the modes of a page cover can be
 * taken up.
 *
 * @param longestLifeMilliseconds Used if the page does not state the lives of its streams.
 */
export function modesEndAt(
  page: OriginPage,
  longestLifeMilliseconds: number,
): number {
  const {statedUntilStoreMilliseconds = Number.POSITIVE_INFINITY} = page;
  return (
    statedUntilStoreMilliseconds +
    STATEMENT_MARGIN_MILLISECONDS +
    (page.longestLifeMilliseconds ?? longestLifeMilliseconds)
  );
}

/** Whether two modes state the same. */
export function isSameMode(left: ServiceMode, right: ServiceMode): boolean {
  if (left.kind === 'mixed' || right.kind === 'mixed')
    return left.kind === right.kind;
  return left.version === right.version;
}
