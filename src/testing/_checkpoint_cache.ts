import type {CheckpointTier} from '../contracts/mod.ts';

/** Checkpoints on an engine's host: least recently used ones leave first. */
export class CheckpointCache {
  /** Names with sizes, the most recently used last. */
  private readonly names = new Map<string, number>();

  constructor(
    private readonly memoryMegabytes: number,
    private readonly diskMegabytes: number,
  ) {}

  /** Records a use, which brings the checkpoint into memory. */
  use(name: string, megabytes: number): void {
    this.names.delete(name);
    this.names.set(name, megabytes);
  }

  /** Tier of every checkpoint that is held at all. */
  tiers(): ReadonlyMap<string, CheckpointTier> {
    const tiers = new Map<string, CheckpointTier>();
    let used = 0;
    for (const [name, megabytes] of [...this.names].reverse()) {
      used += megabytes;
      if (used <= this.memoryMegabytes) tiers.set(name, 'memory');
      else if (used <= this.memoryMegabytes + this.diskMegabytes) {
        tiers.set(name, 'disk');
      }
    }
    return tiers;
  }
}
