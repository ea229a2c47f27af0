import {type Result, success} from '../errors/mod.ts';
import {type ExchangeTimeouts, HttpExchange} from './_http_exchange.ts';
import {probeAddress} from './_probe_address.ts';
import type {EndpointError} from './endpoint_error.ts';
import type {
  ServiceClientResponse,
  ServiceCall,
  ServiceClient,
} from './service_client.ts';

/** Options of {@link HttpServiceClient}. */
export interface HttpServiceClientOptions extends ExchangeTimeouts {
  /** Name of the endpoint, for errors. */
  name: string;
  /** Address such as `http://127.0.0.1:9101`. */
  address: string;
}

/** {@link ServiceClient} for plain HTTP services. */
export class HttpServiceClient implements ServiceClient {
  private readonly exchange: HttpExchange;

  constructor(private readonly options: HttpServiceClientOptions) {
    this.exchange = new HttpExchange(options.name, options.address, options);
  }

  async call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceClientResponse, EndpointError>> {
    const answer = await this.exchange.open({
      step: 'send',
      method: call.method,
      path: call.path,
      headers: {...call.headers, 'x-request-id': call.requestId},
      ...(call.body.length === 0 ? {} : {body: call.body}),
      // A new connection is known to be alive from its handshake. A reused one
      // may have gone silent, or the endpoint may be closing it.
      freshConnection: !call.repeatable,
      progressMilliseconds: call.progressMilliseconds,
      signal,
    });
    if (!answer.ok) return answer;
    const {status, message, body, close} = answer.value;
    return success({status, headers: message.headers, body, close});
  }

  probe(): Promise<Result<undefined, EndpointError>> {
    return probeAddress(this.options.name, this.options.address, {
      milliseconds: this.options.connectMilliseconds ?? 1000,
    });
  }

  close(): void {
    this.exchange.close();
  }
}
