/**
 * Adapter for the users' platform: its header and field names, formats and
 * calls. It makes no serving decisions, and no other folder uses a name of the
 * platform's wire protocol.
 *
 * ```ts
 * const platform = createPlatform({address: '10.0.0.7:8225', timeoutMilliseconds: 700});
 * ```
 *
 * @module
 */
export {deploymentFeatures} from './deployment_features.ts';
export {createPlatform} from './create_platform.ts';
