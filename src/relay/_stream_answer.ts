import type {ServerResponse} from 'node:http';
import type {EndpointResponse} from '../exchange/mod.ts';
import type {EventSplitter} from './_event_splitter.ts';

/** State of one caller's stream over all its attempts. */
export interface CallerStream {
  readonly response: ServerResponse;
  readonly splitter: EventSplitter;
  /** Writes the head once, before the first bytes. */
  readonly begin: (answer: EndpointResponse) => void;
  /** Whether only whole events are passed on, so that the stream can go on elsewhere. */
  readonly wholeEvents: boolean;
}

/** How an endpoint's part of a stream ended. */
export type StreamOutcome = 'complete' | 'broken';

/** Passes a stream on as it arrives, no faster than the caller reads. */
export function streamAnswer(
  answer: EndpointResponse,
  stream: CallerStream,
): Promise<StreamOutcome> {
  const {message} = answer;
  const {response, splitter, wholeEvents} = stream;
  return new Promise(resolve => {
    const finish = (outcome: StreamOutcome) => {
      response.removeListener('drain', resume);
      resolve(outcome);
    };
    const resume = () => message.resume();
    response.on('drain', resume);
    message.on('data', (chunk: Buffer) => {
      const events = splitter.push(chunk);
      const bytes = wholeEvents ? events : chunk;
      if (bytes.length === 0) return;
      stream.begin(answer);
      if (!response.write(bytes)) message.pause();
    });
    message.once('end', () => {
      const complete =
        message.complete &&
        !answer.hasConnectionFailed() &&
        (!wholeEvents || splitter.pendingBytes === 0);
      if (complete) stream.begin(answer);
      finish(complete ? 'complete' : 'broken');
    });
    message.once('error', () => finish('broken'));
    message.once('close', () => finish('broken'));
  });
}
