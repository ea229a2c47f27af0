import type {IncomingMessage, ServerResponse} from 'node:http';
import type {PromptPartQuarantine} from '../relay/mod.ts';

/** Path under which operators list and release parts of prompts. */
export const PROMPT_PARTS_PATH = '/prompt-parts';

/**
 * Answers an operator: `GET /prompt-parts` lists the parts that crashed endpoints,
 * `DELETE /prompt-parts/SERVICE/PART` releases one on all hosts.
 */
export function handlePromptParts(
  request: IncomingMessage,
  response: ServerResponse,
  quarantine: Pick<PromptPartQuarantine, 'report' | 'release'>,
): void {
  const path = (request.url ?? '').slice(PROMPT_PARTS_PATH.length);
  const [, service, part] = path.split('/').map(decode);
  if (request.method === 'GET' && path === '') {
    response
      .writeHead(200, {'Content-Type': 'application/json'})
      .end(JSON.stringify({parts: quarantine.report()}));
    return;
  }
  if (request.method === 'DELETE' && service && part) {
    const wasKnown = quarantine.release(service, part);
    response.writeHead(wasKnown ? 204 : 404).end();
    return;
  }
  response.writeHead(404).end();
}

function decode(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
