import type {EventLogger} from '../observability/mod.ts';
import type {StoreClock} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {PageBuilder} from './_page_builder.ts';
import type {PossiblePages} from './_possible_pages.ts';
import {isSameMode, type OriginPage} from './origin_page.ts';
import type {OriginStore} from './origin_store.ts';

/** Options of {@link PageWriter}. */
export interface PageWriterOptions {
  store: OriginStore;
  clock: Clock;
  storeClock: StoreClock;
  logger: EventLogger;
  hostId: string;
  builder: PageBuilder;
  /** Kept up to date with what the row may contain. */
  pages: PossiblePages;
  /** Called when a write has failed and will be retried. */
  onFailure: () => void;
}

/** Time in which streams are collected before they are written together. */
const GROUP_MILLISECONDS = 15;

/** Delay before a failed write is retried. */
const RETRY_MILLISECONDS = 250;

/** Keeps the page of this host in the store up to date. */
export class PageWriter {
  /** Called once the page has been built anew and written. */
  private waiters: (() => void)[] = [];
  private isWriting = false;
  /** Whether what the page states has changed since it was last built. */
  private isOutdated = false;
  /** Page as it was written last; undefined until this process has written it. */
  private durable: OriginPage | undefined;
  /** Version of the row; undefined until it is known. */
  private rowVersion: number | undefined;
  private hasFailed = false;

  constructor(private readonly options: PageWriterOptions) {}

  /** Whether the last write has failed. */
  get isFailing(): boolean {
    return this.hasFailed;
  }

  /** Writes the page. @returns Settles once the store has a page that is built after now. */
  write(): Promise<void> {
    const written = new Promise<void>(resolve => this.waiters.push(resolve));
    this.writeSoon();
    return written;
  }

  /** Writes the page if it states other modes than it should. */
  writeIfOutdated(): void {
    const {builder} = this.options;
    const isOutdated = builder.services.some(service => {
      const stated = this.durable?.modes[service];
      return (
        stated !== undefined && !isSameMode(stated, builder.modeOf(service))
      );
    });
    if (isOutdated) this.writeSoon();
  }

  /** Writes the page if its modes will end soon. */
  renewIfEnding(): void {
    const now = this.storeNow();
    const {durable} = this;
    if (durable === undefined || now === undefined) return;
    if (this.options.builder.isEnding(durable, now)) this.writeSoon();
  }

  /** Called when the store may have lost the page, or brought an older one back. */
  storeRestored(): void {
    this.rowVersion = undefined;
    this.options.pages.clear();
    if (this.durable === undefined) return;
    this.durable = undefined;
    this.writeSoon();
  }

  private writeSoon(): void {
    this.isOutdated = true;
    if (this.isWriting) return;
    this.isWriting = true;
    void this.writeUntilCurrent().finally(() => {
      this.isWriting = false;
    });
  }

  private async writeUntilCurrent(): Promise<void> {
    const {clock, onFailure} = this.options;
    while (this.isOutdated) {
      await sleep(clock, GROUP_MILLISECONDS);
      const {waiters} = this;
      this.waiters = [];
      this.isOutdated = false;
      this.hasFailed = !(await this.writeOnce());
      if (!this.hasFailed) {
        for (const resolve of waiters) resolve();
        continue;
      }
      this.waiters.unshift(...waiters);
      this.isOutdated = true;
      onFailure();
      await sleep(clock, RETRY_MILLISECONDS);
    }
  }

  /** @returns Whether the store has the page. */
  private async writeOnce(): Promise<boolean> {
    const {builder, store, hostId, logger, pages} = this.options;
    if (this.rowVersion === undefined && !(await this.takeOver())) return false;
    const now = this.storeNow();
    if (now === undefined || this.rowVersion === undefined) return false;
    const page = builder.build(now);
    pages.attempt(page);
    const outcome = await store.write(hostId, page, this.rowVersion);
    if (!outcome.ok) {
      logger.event('streamPageWriteFailed', {...outcome.error});
      // It may have been written, or be written later.
      if (outcome.error.mayHaveHappened) this.rowVersion = undefined;
      else pages.reject(page);
      return false;
    }
    if (outcome.value.kind === 'conflict') {
      pages.reject(page);
      this.rowVersion = undefined;
      return this.writeOnce();
    }
    this.rowVersion = outcome.value.version;
    this.durable = page;
    pages.commit(page);
    // The store has come back from an older copy since the page was built.
    if (page.era !== outcome.value.era) this.isOutdated = true;
    return true;
  }

  /** Reads the page of this host that another process or a late write has left. */
  private async takeOver(): Promise<boolean> {
    const {builder, hostId, store} = this.options;
    const stored = await store.read();
    if (stored === undefined) return false;
    const own = stored.pages.find(page => page.hostId === hostId);
    this.rowVersion = own?.version ?? 0;
    const now = this.storeNow();
    if (own?.page !== undefined && now !== undefined)
      builder.takeOver(own.page, stored.era, now);
    return true;
  }

  private storeNow(): number | undefined {
    const {clock, storeClock} = this.options;
    return storeClock.toStore(clock.monotonicMilliseconds());
  }
}
