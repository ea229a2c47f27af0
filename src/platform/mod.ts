/**
 * Names, formats and calls of the users' platform. Nothing here decides
 * anything, and no other folder knows a name from the wire.
 *
 * ```ts
 * const platform = createPlatform({address: '10.0.0.7:8225', timeoutMilliseconds: 700});
 * ```
 *
 * @module
 */
export {createPlatform} from './create_platform.ts';
