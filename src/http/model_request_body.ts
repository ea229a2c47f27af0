import {z} from 'zod';
import {
  failure,
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type Result,
  RUN_STATES,
  success,
} from '../errors/mod.ts';
import type {JsonValue} from '../stores/mod.ts';

const json = z.custom<JsonValue>(value => value !== undefined);

/** Parameters of chat and text completions that are passed to engines unchanged. */
const samplingParameters = {
  temperature: z.number().min(0).max(2).nullish(),
  top_p: z.number().min(0).max(1).nullish(),
  stop: z.union([z.string(), z.array(z.string())]).nullish(),
  presence_penalty: z.number().nullish(),
  frequency_penalty: z.number().nullish(),
  logit_bias: z.record(z.string(), z.number()).nullish(),
  seed: z.number().int().nullish(),
  response_format: json.optional(),
  tools: json.optional(),
  tool_choice: json.optional(),
};

const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z.object({include_usage: z.boolean().optional()}).nullish(),
  max_tokens: z.number().int().positive().max(1_000_000).nullish(),
  n: z.literal(1).nullish(),
  user: z.string().nullish(),
  metadata: json.optional(),
  store: z.boolean().nullish(),
  /** `batch` requests have lower priority than interactive ones. */
  service_tier: z.enum(['auto', 'default', 'batch']).nullish(),
  /** Timeout of the request, in milliseconds. */
  timeout_milliseconds: z.number().int().positive().max(3_600_000).nullish(),
  ...samplingParameters,
};

const messageSchema = z.looseObject({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
  content: json.nullish(),
});

const chatSchema = z.strictObject({
  ...commonFields,
  messages: z.array(messageSchema).min(1),
  max_completion_tokens: z.number().int().positive().max(1_000_000).nullish(),
});

const completionSchema = z.strictObject({
  ...commonFields,
  prompt: z.string().min(1),
  echo: z.literal(false).nullish(),
  best_of: z.literal(1).nullish(),
});

/** Maximum number of completion tokens if the caller specifies none. */
const DEFAULT_MAXIMUM_TOKENS = 256;

/** Content of the body of a model request. */
export interface ModelRequestBody {
  readonly model: string;
  readonly operation: 'chat' | 'completion';
  readonly input: JsonValue;
  readonly maximumTokens: number;
  readonly parameters: JsonValue;
  readonly priority: 'interactive' | 'batch';
  readonly stream: boolean;
  readonly includeUsage: boolean;
  readonly timeoutMilliseconds: number | undefined;
}

/** Validates the body of `POST /v1/chat/completions`. */
export function parseChatBody(
  body: unknown,
): Result<ModelRequestBody, RequestError> {
  const parsed = chatSchema.safeParse(body);
  if (!parsed.success) return failure(invalidBody(parsed.error));
  const {messages, max_completion_tokens: maximumTokens} = parsed.data;
  return success({
    ...commonRequestFields(parsed.data, maximumTokens),
    operation: 'chat',
    input: messages as unknown as JsonValue,
  });
}

/** Validates the body of `POST /v1/completions`. */
export function parseCompletionBody(
  body: unknown,
): Result<ModelRequestBody, RequestError> {
  const parsed = completionSchema.safeParse(body);
  if (!parsed.success) return failure(invalidBody(parsed.error));
  return success({
    ...commonRequestFields(parsed.data, undefined),
    operation: 'completion',
    input: parsed.data.prompt,
  });
}

type CommonFields = z.infer<z.ZodObject<typeof commonFields>>;

function commonRequestFields(
  fields: CommonFields,
  maximumCompletionTokens: number | null | undefined,
) {
  const parameters: Record<string, JsonValue> = {};
  for (const name of Object.keys(samplingParameters)) {
    const value = fields[name as keyof typeof samplingParameters];
    if (value !== undefined && value !== null) parameters[name] = value;
  }
  return {
    model: fields.model,
    maximumTokens:
      maximumCompletionTokens ?? fields.max_tokens ?? DEFAULT_MAXIMUM_TOKENS,
    parameters,
    priority:
      fields.service_tier === 'batch'
        ? ('batch' as const)
        : ('interactive' as const),
    stream: fields.stream ?? false,
    includeUsage: fields.stream_options?.include_usage ?? false,
    timeoutMilliseconds: fields.timeout_milliseconds ?? undefined,
  };
}

function invalidBody(error: z.ZodError): RequestError {
  const reasons = error.issues.map(issue => {
    const path = issue.path.map(String).join('.');
    return path === '' ? issue.message : `"${path}": ${issue.message}`;
  });
  return {
    code: REQUEST_ERROR_CODES.invalidRequest,
    message: `Cannot use the request body: ${reasons.join('; ')}`,
    step: REQUEST_STEPS.parse,
    run: RUN_STATES.notRun,
  };
}
