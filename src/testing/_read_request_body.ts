import type {IncomingMessage} from 'node:http';

/** Reads the whole body of a request to a stand-in. */
export async function readRequestBody(
  request: IncomingMessage,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
