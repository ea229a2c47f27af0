import {z} from 'zod';
import type {Checkpoint} from '../stores/mod.ts';
import {StandInServer, type StandInServerOptions} from './stand_in_server.ts';

const fetchSchema = z.object({
  name: z.string(),
  /** Transfer time at full speed, in milliseconds. */
  milliseconds: z.number().nonnegative(),
});

/** Options of {@link WeightStoreStandIn}. */
export interface WeightStoreStandInOptions extends StandInServerOptions {
  /** Transfers started a second. @default 3 */
  loadsPerSecond?: number;
  /** Transfers at full speed at once; more share that speed. @default 4 */
  concurrentLoads?: number;
}

interface Transfer {
  remainingMilliseconds: number;
  readonly finish: () => void;
}

const STEP_MILLISECONDS = 5;

/** Stand-in of the platform's rate-limited weight store, over HTTP. */
export class WeightStoreStandIn {
  readonly server: StandInServer;
  readonly checkpoints = new Map<string, Checkpoint>();
  /** Speed of all transfers; 0.1 is a tenth. */
  speed = 1;
  /** Names in the order in which their transfers ended. */
  readonly served: string[] = [];
  private readonly transfers = new Set<Transfer>();
  private nextStartAt = 0;

  constructor(private readonly options: WeightStoreStandInOptions = {}) {
    this.server = new StandInServer(options);
    const {application} = this.server;
    application.post('/checkpoints', (_request, response) => {
      response.json({checkpoints: [...this.checkpoints.values()]});
    });
    application.post('/speed', (request, response) => {
      this.speed = z
        .object({speed: z.number().positive()})
        .parse(request.body).speed;
      response.json({});
    });
    application.post('/fetch', async (request, response) => {
      const {name, milliseconds} = fetchSchema.parse(request.body);
      await this.transfer(milliseconds);
      this.served.push(name);
      response.json({});
    });
  }

  private async transfer(milliseconds: number): Promise<void> {
    const now = performance.now();
    const startAt = Math.max(now, this.nextStartAt);
    this.nextStartAt = startAt + 1000 / (this.options.loadsPerSecond ?? 3);
    await new Promise(resolve => setTimeout(resolve, startAt - now));
    await new Promise<void>(finish => {
      this.transfers.add({remainingMilliseconds: milliseconds, finish});
      if (this.transfers.size === 1) this.run();
    });
  }

  private run(): void {
    const concurrent = this.options.concurrentLoads ?? 4;
    let last = performance.now();
    const timer = setInterval(() => {
      const now = performance.now();
      const share = Math.min(1, concurrent / this.transfers.size) * this.speed;
      for (const transfer of this.transfers) {
        transfer.remainingMilliseconds -= (now - last) * share;
        if (transfer.remainingMilliseconds > 0) continue;
        this.transfers.delete(transfer);
        transfer.finish();
      }
      last = now;
      if (this.transfers.size === 0) clearInterval(timer);
    }, STEP_MILLISECONDS);
  }
}
