import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {EndpointRegistry} from './endpoint_registry.ts';

/** Options of {@link EvacuatedDataCentres}. */
export interface EvacuatedDataCentresOptions {
  logger: EventLogger;
  metrics: Metrics;
  endpoints: EndpointRegistry;
}

/** Where the rows of evacuations come from, for logs. */
export interface EvacuationSource {
  /** `store`, or the id of the peer that has sent them. */
  readonly origin: string;
  /** Time since the store was known to contain the rows, in milliseconds. */
  readonly ageMilliseconds: number;
}

/**
 * Whether an evacuation concerns any endpoint. One of an unknown data centre is kept
 * as well, since its endpoints may register later.
 */
type Evacuation = 'unchecked' | 'unknown' | 'in_effect';

const GAUGE = 'limpetdale_evacuated_data_centres';

/**
 * Data centres that the operator has evacuated, as the rows of the store name them.
 * Passes each change to the registry of the endpoints and logs it.
 */
export class EvacuatedDataCentres {
  private readonly evacuations = new Map<string, Evacuation>();
  private source: EvacuationSource = {origin: '', ageMilliseconds: 0};

  constructor(private readonly options: EvacuatedDataCentresOptions) {
    options.endpoints.onChange(() => this.checkEffects());
    this.updateGauge();
  }

  /**
   * Replaces the evacuated data centres by those of the whole table.
   *
   * @returns Whether they have changed.
   */
  applySnapshot(
    dataCentres: ReadonlySet<string>,
    source: EvacuationSource,
  ): boolean {
    const cancelled = [...this.evacuations.keys()].filter(
      dataCentre => !dataCentres.has(dataCentre),
    );
    const added = [...dataCentres].filter(
      dataCentre => !this.evacuations.has(dataCentre),
    );
    return this.update(added, cancelled, source);
  }

  /**
   * Applies changed rows.
   *
   * @param changes Whether each data centre that the rows name is evacuated.
   * @returns Whether the evacuated data centres have changed.
   */
  applyChanges(
    changes: ReadonlyMap<string, boolean>,
    source: EvacuationSource,
  ): boolean {
    const added: string[] = [];
    const cancelled: string[] = [];
    for (const [dataCentre, isEvacuated] of changes) {
      if (isEvacuated === this.evacuations.has(dataCentre)) {
        const reason = isEvacuated ? 'already_evacuated' : 'not_evacuated';
        this.logUnchanged(dataCentre, reason, source);
      } else {
        (isEvacuated ? added : cancelled).push(dataCentre);
      }
    }
    return this.update(added, cancelled, source);
  }

  private update(
    added: readonly string[],
    cancelled: readonly string[],
    source: EvacuationSource,
  ): boolean {
    if (added.length === 0 && cancelled.length === 0) return false;
    this.source = source;
    const wereInEffect = cancelled.filter(
      dataCentre => this.evacuations.get(dataCentre) === 'in_effect',
    );
    for (const dataCentre of cancelled) this.evacuations.delete(dataCentre);
    for (const dataCentre of added)
      this.evacuations.set(dataCentre, 'unchecked');
    for (const dataCentre of cancelled) {
      if (wereInEffect.includes(dataCentre))
        this.log('dataCentreReturned', dataCentre);
      else this.logUnchanged(dataCentre, 'unknown_data_centre', source);
    }
    this.options.endpoints.setEvacuated(new Set(this.evacuations.keys()));
    return true;
  }

  /** Called after each change of the endpoints or of the evacuated data centres. */
  private checkEffects(): void {
    const {endpoints} = this.options;
    for (const [dataCentre, known] of this.evacuations) {
      if (known === 'in_effect') continue;
      if (endpoints.countIn(dataCentre) > 0) {
        this.evacuations.set(dataCentre, 'in_effect');
        this.log('dataCentreEvacuated', dataCentre);
      } else if (known === 'unchecked' && endpoints.isPopulated) {
        this.evacuations.set(dataCentre, 'unknown');
        this.logUnchanged(dataCentre, 'unknown_data_centre', this.source);
      }
    }
    this.updateGauge();
  }

  private updateGauge(): void {
    const inEffect = [...this.evacuations.values()].filter(
      known => known === 'in_effect',
    );
    this.options.metrics.setGauge(GAUGE, inEffect.length);
  }

  private log(
    event: 'dataCentreEvacuated' | 'dataCentreReturned',
    dataCentre: string,
  ): void {
    const {logger, endpoints} = this.options;
    logger.event(event, {
      dataCentre,
      endpoints: endpoints.countIn(dataCentre),
      origin: this.source.origin,
      ageMilliseconds: Math.round(this.source.ageMilliseconds),
    });
  }

  private logUnchanged(
    dataCentre: string,
    reason: 'already_evacuated' | 'not_evacuated' | 'unknown_data_centre',
    {origin}: EvacuationSource,
  ): void {
    this.options.logger.event('evacuationUnchanged', {
      dataCentre,
      reason,
      origin,
    });
  }
}
