import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {CallerLimits} from '../deployment/mod.ts';
import {type FleetTopology, hostsForCaller} from '../fleet/mod.ts';
import {closeGracefully, trackConnections} from '../http/mod.ts';
import {listenWhenFree} from '../listeners/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {PromptPartQuarantine, RequestRelay} from '../relay/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {EntrySettings} from './entry_settings.ts';
import type {PlatformAdapter} from './platform_adapter.ts';
import {EXPLAIN_PATH, handleExplain} from './explain_api.ts';
import {explainRequest, type ExplainRequestOptions} from './explain_request.ts';
import {handlePromptParts, PROMPT_PARTS_PATH} from './prompt_part_api.ts';

/** Options of {@link EntryListeners}. */
export interface EntryListenersOptions {
  settings: EntrySettings;
  platform: PlatformAdapter;
  relay: RequestRelay;
  topology: FleetTopology;
  metrics: Metrics;
  clock: Clock;
  promptParts: Pick<PromptPartQuarantine, 'report' | 'release'>;
  /** What decides on requests, to explain it to operators. */
  explanation: ExplainRequestOptions;
  logger: EventLogger;
  isReady: () => boolean;
}

/** Maximum header size; callers have stayed within 16 KiB on every deployment so far. */
const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** Interval at which Node.js checks for header and request time-outs. */
const HEADER_CHECK_MILLISECONDS = 500;

/** Time-out for receiving a request; a body of 4 MiB takes far less. */
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;

/** Listen backlog, sized for the new connections of a burst. */
const ACCEPT_BACKLOG = 1024;

/** Time-out for closing the readiness, directory and metrics servers. */
const AUXILIARY_CLOSE_MILLISECONDS = 100;

/** HTTP servers of an entry host. */
export class EntryListeners {
  private readonly callerServer: Server;
  private readonly readinessServer: Server;
  private readonly directoryServer: Server;
  private readonly metricsServer: Server;
  private readonly closing = new AbortController();

  constructor(private readonly options: EntryListenersOptions) {
    const {relay} = options;
    this.callerServer = createServer(
      {
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        connectionsCheckingInterval: HEADER_CHECK_MILLISECONDS,
        requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
        requireHostHeader: true,
        noDelay: true,
      },
      (request, response) => void relay.handle(request, response),
    );
    this.readinessServer = createServer((request, response) =>
      this.handleReadiness(request, response),
    );
    this.directoryServer = createServer((request, response) =>
      this.handleAddressQuery(request, response),
    );
    this.metricsServer = createServer((request, response) =>
      this.handleOperator(request, response),
    );
    for (const server of this.servers()) trackConnections(server);
  }

  /**
   * Listens on all configured addresses, once they are free. The metrics page, which
   * no request needs, does not delay the start.
   *
   * @param stop Ends the waiting.
   */
  async listen(stop?: AbortSignal): Promise<void> {
    const {settings, logger} = this.options;
    this.listenOn(
      this.metricsServer,
      'metrics',
      `${settings.address}:${settings.metricsPort}`,
      stop,
    ).catch((error: Error) =>
      logger.event('listenerFailed', {
        listener: 'metrics',
        reason: error.message,
      }),
    );
    await Promise.all([
      this.listenOn(
        this.readinessServer,
        'readiness',
        settings.readiness,
        stop,
      ),
      this.listenOn(
        this.directoryServer,
        'directory',
        settings.directory,
        stop,
      ),
    ]);
    await this.listenOn(this.callerServer, 'callers', settings.callers, stop);
  }

  private listenOn(
    server: Server,
    name: string,
    socketAddress: string,
    stop: AbortSignal | undefined,
  ): Promise<boolean> {
    const {clock, logger} = this.options;
    const [address = '', port] = socketAddress.split(':');
    return listenWhenFree(server, {
      name,
      address,
      port: Number(port),
      backlog: ACCEPT_BACKLOG,
      clock,
      logger,
      stop:
        stop === undefined
          ? this.closing.signal
          : AbortSignal.any([stop, this.closing.signal]),
    });
  }

  /** Applies the configured time-outs to the caller server. */
  applyLimits(limits: CallerLimits): void {
    this.callerServer.headersTimeout = limits.headerMilliseconds;
    this.callerServer.keepAliveTimeout = limits.idleMilliseconds;
  }

  /**
   * Stops accepting connections, and closes all servers once the responses are
   * written out or the time is over.
   */
  async close(timeoutMilliseconds: number): Promise<void> {
    const {clock} = this.options;
    this.closing.abort();
    await closeGracefully(this.callerServer, {
      clock,
      timeoutMilliseconds: timeoutMilliseconds - AUXILIARY_CLOSE_MILLISECONDS,
      onTimeout: connections => this.logCut(connections),
    });
    await Promise.all(
      this.auxiliaryServers().map(server =>
        closeGracefully(server, {
          clock,
          timeoutMilliseconds: AUXILIARY_CLOSE_MILLISECONDS,
        }),
      ),
    );
  }

  private servers(): readonly Server[] {
    return [this.callerServer, ...this.auxiliaryServers()];
  }

  private auxiliaryServers(): readonly Server[] {
    return [this.readinessServer, this.directoryServer, this.metricsServer];
  }

  private logCut(connections: number): void {
    const {logger, relay} = this.options;
    logger.event('connectionsCut', {
      connections,
      requests: relay.openRequestCount,
    });
    relay.logOpenRequests();
  }

  private handleReadiness(request: IncomingMessage, response: ServerResponse) {
    const isReadinessPath = request.url === this.options.platform.readinessPath;
    const status = !isReadinessPath ? 404 : this.options.isReady() ? 200 : 503;
    response.writeHead(status, {'Content-Length': 0}).end();
  }

  private handleAddressQuery(
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    const {platform, topology, settings, logger} = this.options;
    const query = platform.parseAddressQuery(request.url ?? '/');
    if (query === undefined) {
      response.writeHead(404, {'Content-Length': 0}).end();
      return;
    }
    const hosts = hostsForCaller(
      topology.callerHosts(),
      request.socket.remoteAddress ?? '',
    );
    const addresses = hosts.map(host => host.callerAddress);
    if (addresses.length === 0) {
      response.writeHead(503, {'Content-Length': 0}).end();
      return;
    }
    logger.event('addressesAnswered', {...query, addresses});
    const body = JSON.stringify(
      platform.createAddressResponse(
        addresses,
        settings.addressLifetimeMilliseconds,
      ),
    );
    response
      .writeHead(200, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(body),
      })
      .end(body);
  }

  private handleOperator(request: IncomingMessage, response: ServerResponse) {
    const {explanation, promptParts} = this.options;
    if (request.url?.startsWith(PROMPT_PARTS_PATH) === true)
      handlePromptParts(request, response, promptParts);
    else if (request.url?.startsWith(EXPLAIN_PATH) === true)
      handleExplain(request, response, query =>
        explainRequest(query, explanation),
      );
    else void this.handleMetrics(response);
  }

  private async handleMetrics(response: ServerResponse): Promise<void> {
    const body = await this.options.metrics.render();
    response.writeHead(200, {'Content-Type': 'text/plain'}).end(body);
  }
}
