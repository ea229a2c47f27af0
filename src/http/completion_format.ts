/** What all parts of one answer have in common. */
export interface CompletionIdentity {
  readonly id: string;
  readonly model: string;
  readonly operation: 'chat' | 'completion';
  /** Unix time in seconds. */
  readonly created: number;
}

/** Token counts of an answer. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Body of a whole answer. */
export function completionBody(
  identity: CompletionIdentity,
  text: string,
  finishReason: string,
  usage: Usage,
): unknown {
  const content =
    identity.operation === 'chat'
      ? {message: {role: 'assistant', content: text, refusal: null}}
      : {text};
  return {
    id: identity.id,
    object:
      identity.operation === 'chat' ? 'chat.completion' : 'text_completion',
    created: identity.created,
    model: identity.model,
    choices: [
      {index: 0, ...content, finish_reason: finishReason, logprobs: null},
    ],
    usage: usageBody(usage),
  };
}

/** One part of a streamed answer. */
export function completionChunk(
  identity: CompletionIdentity,
  text: string | undefined,
  finishReason: string | null,
): unknown {
  const content =
    identity.operation === 'chat'
      ? {delta: text === undefined ? {} : {role: 'assistant', content: text}}
      : {text: text ?? ''};
  return {
    ...chunkHead(identity),
    choices: [
      {index: 0, ...content, finish_reason: finishReason, logprobs: null},
    ],
  };
}

/** The part of a streamed answer that has the token counts. */
export function usageChunk(
  identity: CompletionIdentity,
  usage: Usage,
): unknown {
  return {...chunkHead(identity), choices: [], usage: usageBody(usage)};
}

function chunkHead(identity: CompletionIdentity) {
  return {
    id: identity.id,
    object:
      identity.operation === 'chat'
        ? 'chat.completion.chunk'
        : 'text_completion',
    created: identity.created,
    model: identity.model,
  };
}

function usageBody(usage: Usage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}
