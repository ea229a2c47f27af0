import type {ServerResponse} from 'node:http';
import type {EndpointResponse} from '../exchange/mod.ts';
import type {EventSplitter} from './_event_splitter.ts';

/** State of a response stream to a caller, kept over all attempts. */
export interface CallerStream {
  readonly response: ServerResponse;
  readonly splitter: EventSplitter;
  /** Writes the response head unless it has been sent; called before each write. */
  readonly writeHead: (endpointResponse: EndpointResponse) => void;
  /** Called once, when the first complete event of this attempt has arrived. */
  readonly onFirstEvent: () => void;
  /** Whether only complete events are forwarded, so that the stream can be resumed. */
  readonly forwardsWholeEvents: boolean;
}

/**
 * Maximum size of one event. More bytes without the end of an event are no event,
 * and would be kept in memory.
 */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/** How the stream of one attempt ended. */
export type StreamOutcome = 'complete' | 'broken';

/** Forwards a stream as it arrives, with backpressure from the caller. */
export function streamResponse(
  endpointResponse: EndpointResponse,
  stream: CallerStream,
): Promise<StreamOutcome> {
  const {message} = endpointResponse;
  const {response, splitter, forwardsWholeEvents} = stream;
  let hasBegun = false;
  return new Promise(resolve => {
    const finish = (outcome: StreamOutcome) => {
      response.removeListener('drain', resume);
      resolve(outcome);
    };
    const resume = () => message.resume();
    response.on('drain', resume);
    message.on('data', (chunk: Buffer) => {
      const events = splitter.push(chunk);
      if (!hasBegun && events.length > 0) {
        hasBegun = true;
        stream.onFirstEvent();
      }
      if (splitter.pendingBytes > MAXIMUM_EVENT_BYTES) {
        endpointResponse.abort();
        finish('broken');
        return;
      }
      const bytes = forwardsWholeEvents ? events : chunk;
      if (bytes.length === 0) return;
      stream.writeHead(endpointResponse);
      if (!response.write(bytes)) message.pause();
    });
    message.once('end', () => {
      const complete =
        message.complete &&
        !endpointResponse.hasConnectionFailed() &&
        splitter.pendingBytes === 0;
      if (complete) stream.writeHead(endpointResponse);
      finish(complete ? 'complete' : 'broken');
    });
    message.once('error', () => finish('broken'));
    message.once('close', () => finish('broken'));
  });
}
