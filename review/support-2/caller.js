/** Stand-in of a client. */
import {request} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {Buffer} from 'node:buffer';

let requestNumber = 0;

/** Returns an id that no other request has. */
export function newRequestId() {
  requestNumber++;
  return `review${String(requestNumber).padStart(10, '0')}`;
}

/** Sends one client attempt on a new connection, or on one of an agent. */
export function call({address, method, path, headers, body, agent, deadline}) {
  const [host, port] = address.split(':');
  const id = newRequestId();
  return new Promise(resolve => {
    const attempt = request(
      {
        host,
        port,
        method,
        path,
        agent: agent ?? false,
        headers: {
          Host: 'ficu95.example',
          'Request-Id': id,
          'Deadline-Ms': String(deadline),
          ...headers,
          ...(body === undefined
            ? {}
            : {'Content-Length': Buffer.byteLength(body)}),
        },
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        const finish = () => {
          clearTimeout(timer);
          resolve({
            id,
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks),
            isComplete: response.complete,
          });
        };
        response.on('end', finish);
        response.on('error', finish);
      },
    );
    const timer = setTimeout(() => attempt.destroy(), deadline);
    attempt.on('error', error => {
      clearTimeout(timer);
      resolve({id, status: 0, reason: error.message, isComplete: false});
    });
    attempt.end(body);
  });
}

/**
 * Asks for one model after the other until {@link stop}: each until an engine has served
 * it, so that the leader of the pool keeps giving orders.
 */
export class RovingDemand {
  constructor({hosts, models, key}) {
    Object.assign(this, {hosts, models, key});
    this.isStopped = false;
    this.promptNumber = 0;
    this.model = models[0];
  }

  async run() {
    for (let index = 1; !this.isStopped; index++) {
      this.model = this.models[index % this.models.length];
      while (!this.isStopped && !(await this.isServed()))
        await new Promise(resolve => setTimeout(resolve, 100));
    }
  }

  stop() {
    this.isStopped = true;
  }

  async isServed() {
    const answers = await this.ask();
    return answers.some(({status}) => status === 200);
  }

  /** Sends a request for the current model to each host that runs. */
  ask() {
    const running = this.hosts.filter(host => host.process !== undefined);
    return Promise.all(
      running.map(host => {
        this.promptNumber++;
        return call({
          address: host.callers,
          method: 'POST',
          path: '/lohu930/2f',
          headers: {
            'X-Api-Key': this.key,
            Model: this.model,
            'Token-Usage': '600,20',
            'Prompt-Prefix': `aa:200,${this.promptNumber.toString(16)}:400`,
          },
          body: 'x',
          deadline: 2000,
        });
      }),
    );
  }
}
