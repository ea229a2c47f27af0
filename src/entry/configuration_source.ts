import {type DeploymentConfiguration, RouteIndex} from '../deployment/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {PlatformAdapter} from './platform_adapter.ts';

/** Options of {@link ConfigurationSource}. */
export interface ConfigurationSourceOptions {
  platform: Pick<PlatformAdapter, 'decodeConfiguration'>;
  logger: EventLogger;
  /** Called after a newer configuration came into force. */
  onApplied: (configuration: DeploymentConfiguration) => void;
}

/** The newest configuration that this process has seen; never an older one. */
export class ConfigurationSource {
  private current: RouteIndex | undefined;
  private documentText = '';

  constructor(private readonly options: ConfigurationSourceOptions) {}

  /** Routes in force; undefined until a configuration is known. */
  get index(): RouteIndex | undefined {
    return this.current;
  }

  /** Version in force; 0 when none is known. */
  get version(): number {
    return this.current?.configuration.version ?? 0;
  }

  /** The document in force, as the store holds it. */
  get document(): string {
    return this.documentText;
  }

  /**
   * Puts a document in force if it is newer.
   *
   * @param origin Where it came from, for the log.
   */
  applyIfNewer(document: Buffer, origin: string): void {
    const {platform, logger, onApplied} = this.options;
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
    this.documentText = document.toString();
    onApplied(configuration);
    logger.event('configurationApplied', {
      origin,
      version: configuration.version,
      formerVersion,
      routes: configuration.routes.length,
      teams: configuration.teams?.length,
    });
  }
}
