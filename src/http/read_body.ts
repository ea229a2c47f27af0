import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import {createBrotliDecompress, createGunzip, createInflate} from 'node:zlib';
import type {RequestHandler} from 'express';
import {ByteCollector} from '../bytes/mod.ts';

/** Options of {@link createBodyReader}. */
export interface BodyReaderOptions {
  /** Maximum size of the body, after its decompression. */
  maximumBytes: (request: Parameters<RequestHandler>[0]) => number;
  /** Whether compressed bodies are decompressed; they are refused otherwise. */
  decompresses: boolean;
}

/** An error that {@link createBodyReader} passes on, with the status to respond with. */
class BodyError extends Error {
  constructor(
    readonly status: number,
    message: string,
    /** Maximum size in bytes, if it was exceeded. */
    readonly limit?: number,
  ) {
    super(message);
  }
}

/**
 * Reads bodies into `request.body`, a `Buffer`. The parsers of Express keep an object
 * for each piece, which for small pieces takes several times their payload.
 */
export function createBodyReader(options: BodyReaderOptions): RequestHandler {
  return (request, _response, next) => {
    const maximumBytes = options.maximumBytes(request);
    readWhole(request, maximumBytes, options.decompresses).then(body => {
      request.body = body;
      next();
    }, next);
  };
}

async function readWhole(
  request: IncomingMessage,
  maximumBytes: number,
  decompresses: boolean,
): Promise<Buffer> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  const collector = new ByteCollector();
  if (declaredBytes > maximumBytes) throw tooLarge(request, maximumBytes);
  const body = decompress(request, decompresses);
  try {
    for await (const chunk of body.iterator({destroyOnReturn: false})) {
      const bytes = chunk as Buffer;
      if (collector.length + bytes.length > maximumBytes)
        throw tooLarge(request, maximumBytes);
      collector.append(bytes);
    }
  } catch (error) {
    if (error instanceof BodyError) throw error;
    throw new BodyError(400, error instanceof Error ? error.message : '');
  }
  return collector.take();
}

function decompress(request: IncomingMessage, isAllowed: boolean): Readable {
  const coding = request.headers['content-encoding']?.toLowerCase();
  if (!isAllowed && coding !== undefined && coding !== 'identity')
    throw new BodyError(415, `Cannot read the content coding "${coding}"`);
  switch (coding) {
    case undefined:
    case 'identity':
      return request;
    case 'gzip':
      return request.pipe(createGunzip());
    case 'deflate':
      return request.pipe(createInflate());
    case 'br':
      return request.pipe(createBrotliDecompress());
    default:
      throw new BodyError(415, `Cannot read the content coding "${coding}"`);
  }
}

/** The rest of the body is discarded, so that the caller gets the response. */
function tooLarge(request: IncomingMessage, maximumBytes: number): BodyError {
  request.unpipe();
  request.resume();
  return new BodyError(413, 'request entity too large', maximumBytes);
}
