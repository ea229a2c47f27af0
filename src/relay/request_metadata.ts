/** A part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Request metadata from the headers; the body stays opaque. */
export interface RequestMetadata {
  /** Request id that the caller set for this attempt; empty if it set none. */
  readonly requestId: string;
  /** Host name without a port. */
  readonly hostName: string;
  readonly key: string | undefined;
  /** Requested model; undefined for plain services. */
  readonly model: string | undefined;
  /** Requested adapter of the model; undefined for the base model. */
  readonly adapter: string | undefined;
  /** Prompt tokens plus maximum output tokens; undefined if not stated. */
  readonly tokens: number | undefined;
  /** Parts of the prompt in order; the last one is specific to the session. */
  readonly promptParts: readonly PromptPart[];
  /** Time-out of the caller in milliseconds; undefined if not stated. */
  readonly deadlineMilliseconds: number | undefined;
  /** Id of the last event received, after which a broken stream resumes. */
  readonly lastEventId: string | undefined;
  /** Request id of the attempt that brought the first event of a resumed stream. */
  readonly resumes: string | undefined;
}
