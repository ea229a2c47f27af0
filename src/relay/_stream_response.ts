import type {EndpointResponse} from '../exchange/mod.ts';
import type {CallerWriter} from './_caller_writer.ts';
import type {EventSplitter} from './_event_splitter.ts';

/** State of a response stream to a caller, kept over all attempts. */
export interface CallerStream {
  readonly writer: CallerWriter;
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

/**
 * Forwards a stream as it arrives. What the caller does not read yet is held, and the
 * reading of the endpoint's response stops only when no more can be held.
 */
export function streamResponse(
  endpointResponse: EndpointResponse,
  stream: CallerStream,
): Promise<StreamOutcome> {
  const {message} = endpointResponse;
  const {writer, splitter, forwardsWholeEvents} = stream;
  let hasBegun = false;
  return new Promise(resolve => {
    const finish = (outcome: StreamOutcome) => {
      writer.attach(undefined);
      resolve(outcome);
    };
    writer.attach(() => message.resume());
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
      if (!writer.write(bytes)) message.pause();
    });
    message.once('end', () => {
      const complete =
        endpointResponse.isWhole() && splitter.pendingBytes === 0;
      if (complete) stream.writeHead(endpointResponse);
      finish(complete ? 'complete' : 'broken');
    });
    message.once('error', () => finish('broken'));
    message.once('close', () => finish('broken'));
  });
}
