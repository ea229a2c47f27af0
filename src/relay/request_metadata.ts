/** One shared part of a prompt. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What the relay needs to know of a request besides its opaque body. */
export interface RequestMetadata {
  /** Identity that the caller gave to this attempt; empty when it gave none. */
  readonly requestId: string;
  /** Host name without a port. */
  readonly hostName: string;
  readonly key: string | undefined;
  /** Model that is asked for; undefined for plain services. */
  readonly model: string | undefined;
  /** Adapter of the model. */
  readonly adapter: string | undefined;
  /** Prompt tokens plus most output tokens; undefined when not stated. */
  readonly tokens: number | undefined;
  /** Parts of the prompt in order; the last belongs to the session. */
  readonly promptParts: readonly PromptPart[];
  /** Milliseconds for which the caller waits; undefined when not stated. */
  readonly deadlineMilliseconds: number | undefined;
  /** Event after which a broken stream goes on. */
  readonly lastEventId: string | undefined;
}
