import {type DeploymentConfiguration, RouteIndex} from '../deployment/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {RowSource} from '../stores/mod.ts';
import type {PlatformAdapter} from './platform_adapter.ts';

/** Options of {@link ConfigurationSource}. */
export interface ConfigurationSourceOptions {
  platform: Pick<PlatformAdapter, 'decodeConfiguration'>;
  logger: EventLogger;
  /** Called after a newer configuration was applied. */
  onApplied: (configuration: DeploymentConfiguration) => void;
}

/** Holds the newest configuration seen by this process; never reverts to an older one. */
export class ConfigurationSource {
  private current: RouteIndex | undefined;

  constructor(private readonly options: ConfigurationSourceOptions) {}

  /** Route index of the current configuration; undefined until one is known. */
  get index(): RouteIndex | undefined {
    return this.current;
  }

  /** Version of the current configuration; 0 if none is known. */
  get version(): number {
    return this.current?.configuration.version ?? 0;
  }

  /**
   * Applies a configuration document if it is newer than the current one.
   *
   * @param source Source of the document, for the log.
   */
  applyIfNewer(document: Buffer, source: RowSource): void {
    const {platform, logger, onApplied} = this.options;
    const {origin, ageMilliseconds} = source;
    const configuration = platform.decodeConfiguration(document);
    if (configuration === undefined) {
      logger.event('configurationUnreadable', {
        origin,
        bytes: document.length,
        knownVersion: this.version,
      });
      return;
    }
    if (configuration.version <= this.version) return;
    const formerVersion = this.version;
    this.current = new RouteIndex(configuration);
    onApplied(configuration);
    logger.event('configurationApplied', {
      origin,
      ageMilliseconds: Math.round(ageMilliseconds),
      version: configuration.version,
      formerVersion,
      routes: configuration.routes.length,
      teams: configuration.teams?.length,
    });
  }
}
