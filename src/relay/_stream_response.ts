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
  /** Whether events may be forwarded, once it is known; undefined if they may at once. */
  readonly mayForward: Promise<boolean> | undefined;
  /** Aborted when the caller disconnects. */
  readonly callerLeft: AbortSignal;
}

/**
 * Maximum size of one event. More bytes without the end of an event are no event,
 * and would be kept in memory.
 */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/** How the stream of one attempt ended. */
export type StreamOutcome =
  | 'complete'
  | 'broken'
  /** Nothing of it may be forwarded. */
  | 'withheld';

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
  let isHeld = stream.mayForward !== undefined;
  const held: Buffer[] = [];
  return new Promise(resolve => {
    let outcome: StreamOutcome | undefined;
    const finish = (ended: StreamOutcome) => {
      outcome ??= ended;
      // The splitter counts what is held as delivered, so it must still be forwarded.
      if (isHeld && !stream.callerLeft.aborted) return;
      writer.attach(undefined);
      resolve(outcome);
    };
    const forward = (bytes: Buffer) => {
      stream.writeHead(endpointResponse);
      if (!writer.write(bytes)) message.pause();
    };
    writer.attach(() => message.resume());
    void stream.mayForward?.then(isAllowed => {
      isHeld = false;
      if (!isAllowed) {
        held.length = 0;
        outcome = 'withheld';
        endpointResponse.abort();
        finish(outcome);
        return;
      }
      for (const bytes of held.splice(0)) forward(bytes);
      if (outcome === 'complete') stream.writeHead(endpointResponse);
      const ended = outcome;
      // A response that is cut off at once loses what was just written to it.
      if (ended !== undefined) setImmediate(() => finish(ended));
      else message.resume();
    });
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
      if (bytes.length === 0 || outcome === 'withheld') return;
      if (!isHeld) {
        forward(bytes);
        return;
      }
      held.push(bytes);
      message.pause();
    });
    message.once('end', () => {
      const complete =
        endpointResponse.isWhole() && splitter.pendingBytes === 0;
      if (complete && !isHeld) stream.writeHead(endpointResponse);
      finish(complete ? 'complete' : 'broken');
    });
    message.once('error', () => finish('broken'));
    message.once('close', () => finish('broken'));
  });
}
