import type {Endpoint} from '../contracts/mod.ts';
import type {ExchangeTimeouts} from './_http_exchange.ts';
import type {EngineClient} from './engine_client.ts';
import {HttpEngineClient} from './http_engine_client.ts';
import {HttpServiceClient} from './http_service_client.ts';
import type {ServiceClient} from './service_client.ts';

interface Cached<Client> {
  readonly address: string;
  readonly client: Client;
}

/** Caches one client per endpoint; replaces it if the endpoint's address changes. */
export class EndpointClients {
  private readonly engines = new Map<string, Cached<EngineClient>>();
  private readonly services = new Map<string, Cached<ServiceClient>>();

  constructor(private readonly timeouts: ExchangeTimeouts = {}) {}

  /** Returns the client of an engine. */
  engine(endpoint: Endpoint): EngineClient {
    return getOrCreate(this.engines, endpoint, () => {
      const {name, address} = endpoint;
      return new HttpEngineClient({...this.timeouts, name, address});
    });
  }

  /** Returns the client of an instance of a plain service. */
  service(endpoint: Endpoint): ServiceClient {
    return getOrCreate(this.services, endpoint, () => {
      const {name, address} = endpoint;
      return new HttpServiceClient({...this.timeouts, name, address});
    });
  }

  /** Closes the clients of all endpoints except these. */
  retain(names: ReadonlySet<string>): void {
    for (const clients of [this.engines, this.services]) {
      for (const [name, {client}] of clients) {
        if (names.has(name)) continue;
        client.close();
        clients.delete(name);
      }
    }
  }
}

function getOrCreate<Client extends {close(): void}>(
  clients: Map<string, Cached<Client>>,
  endpoint: Endpoint,
  create: () => Client,
): Client {
  const {name, address} = endpoint;
  const existing = clients.get(name);
  if (existing?.address === address) return existing.client;
  existing?.client.close();
  const client = create();
  clients.set(name, {address, client});
  return client;
}
