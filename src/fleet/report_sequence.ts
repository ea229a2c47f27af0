/** Position of a report in the series of its sender. */
export interface ReportPosition {
  /** Process that numbers the reports. */
  readonly source: string;
  /** Increases with each report. */
  readonly sequence: number;
  /** Number of the report that this one changes; undefined for a complete one. */
  readonly afterSequence: number | undefined;
}

/** What a receiver does with a report. */
export type ReportDisposition =
  /** It follows what is known, or is complete. */
  | 'apply'
  /** Its content is known already. */
  | 'ignore'
  /** Reports before it are missing, so a complete one is needed. */
  | 'resend';

/** Notices reports that were lost or repeated. */
export class ReportSequence {
  private known: {source: string; sequence: number} | undefined;

  /** Number of the last report that applied; undefined before the first one. */
  get sequence(): number | undefined {
    return this.known?.sequence;
  }

  /** Decides about a report, and records it if it applies. */
  accept({source, sequence, afterSequence}: ReportPosition): ReportDisposition {
    const {known} = this;
    const isKnownSource = known?.source === source;
    if (afterSequence === undefined) {
      if (isKnownSource && sequence < known.sequence) return 'ignore';
    } else {
      if (!isKnownSource) return 'resend';
      if (sequence <= known.sequence) return 'ignore';
      if (afterSequence !== known.sequence) return 'resend';
    }
    this.known = {source, sequence};
    return 'apply';
  }
}
