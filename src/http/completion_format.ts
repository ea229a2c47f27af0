/** Fields shared by all chunks of one response. */
export interface CompletionIdentity {
  readonly id: string;
  readonly model: string;
  readonly operation: 'chat' | 'completion';
  /** Unix time in seconds. */
  readonly created: number;
}

/** Token counts of a response. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Creates the body of a response that is not streamed. */
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

/** Creates one chunk of a streamed response. */
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
    ...chunkBase(identity),
    choices: [
      {index: 0, ...content, finish_reason: finishReason, logprobs: null},
    ],
  };
}

/** Creates the chunk of a streamed response that carries the token counts. */
export function usageChunk(
  identity: CompletionIdentity,
  usage: Usage,
): unknown {
  return {...chunkBase(identity), choices: [], usage: usageBody(usage)};
}

function chunkBase(identity: CompletionIdentity) {
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
