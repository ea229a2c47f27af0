import {z} from 'zod';
import {nameSchema} from './_schemas.ts';

/** Schema of {@link RouteRule}. */
export const routeRuleSchema = z.strictObject({
  methods: z.array(z.string().regex(/^[A-Z]+$/, 'must be an HTTP method')),
  pathPrefix: z.string().startsWith('/'),
  /** Whether calls that match this rule may be retried after a failure. */
  repeatable: z.boolean(),
});

/** Rule that determines which calls of a service may be retried. */
export type RouteRule = z.infer<typeof routeRuleSchema>;

/** Schema of {@link ServiceRoute}. */
export const serviceRouteSchema = z.strictObject({
  /** Name of the service, as in `/services/<name>/…`. */
  name: nameSchema,
  /** Name of the pool of endpoints that run the service. */
  pool: nameSchema,
  /** Whether calls are accepted without a key. */
  open: z.boolean().default(false),
  /**
   * The first match applies; without one only GET, HEAD and OPTIONS are
   * retried.
   */
  rules: z.array(routeRuleSchema).default([]),
  timeoutMilliseconds: z.number().int().positive().default(10_000),
  maximumBodyBytes: z.number().int().positive().default(1_048_576),
  /** Tokens that one call takes from the team's token bucket. */
  tokensPerCall: z.number().nonnegative().default(1),
});

/** How calls of one plain HTTP service are routed. */
export type ServiceRoute = z.infer<typeof serviceRouteSchema>;
