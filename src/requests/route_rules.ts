import type {ServiceRoute} from '../contracts/mod.ts';

/** Methods that are safe by definition (RFC 9110, section 9.2.1). */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Whether a call may be sent again after a failure. The first rule that matches decides. */
export function isRepeatableCall(
  route: ServiceRoute,
  method: string,
  path: string,
): boolean {
  const pathname = path.split('?', 1)[0]!;
  const rule = route.rules.find(
    candidate =>
      candidate.methods.includes(method) &&
      pathname.startsWith(candidate.pathPrefix),
  );
  return rule?.repeatable ?? SAFE_METHODS.has(method);
}
