import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {
  Counter,
  Gauge,
  Histogram as BucketHistogram,
  Registry,
} from 'prom-client';

/** Label values of one time series, by label name. */
export type MetricLabels = Readonly<Record<string, string>>;

const QUANTILES = [50, 90, 99, 99.9] as const;

interface HistogramSeries {
  readonly labels: MetricLabels;
  readonly histogram: Histogram;
  sum: number;
}

/**
 * Counters, gauges and latency histograms of one host. Durations are recorded in
 * HDR histograms in microseconds and exposed as Prometheus summaries in seconds.
 */
export class Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly bucketHistograms = new Map<string, BucketHistogram>();
  private readonly histograms = new Map<
    string,
    {help: string; series: Map<string, HistogramSeries>}
  >();

  /** Adds `value` to a counter, which is created on first use. */
  increment(name: string, labels: MetricLabels = {}, value = 1): void {
    let counter = this.counters.get(name);
    if (counter === undefined) {
      counter = new Counter({
        name,
        help: name,
        labelNames: Object.keys(labels),
        registers: [this.registry],
      });
      this.counters.set(name, counter);
    }
    counter.inc(labels, value);
  }

  /** Sets a gauge, which is created on first use. */
  setGauge(name: string, value: number, labels: MetricLabels = {}): void {
    let gauge = this.gauges.get(name);
    if (gauge === undefined) {
      gauge = new Gauge({
        name,
        help: name,
        labelNames: Object.keys(labels),
        registers: [this.registry],
      });
      this.gauges.set(name, gauge);
    }
    gauge.set(labels, value);
  }

  /**
   * Records a value in a histogram, which is created on first use.
   *
   * @param buckets Upper bounds of the buckets in ascending order.
   */
  recordValue(name: string, value: number, buckets: readonly number[]): void {
    let histogram = this.bucketHistograms.get(name);
    if (histogram === undefined) {
      histogram = new BucketHistogram({
        name,
        help: name,
        buckets: [...buckets],
        registers: [this.registry],
      });
      this.bucketHistograms.set(name, histogram);
    }
    histogram.observe(value);
  }

  /** Records a duration in milliseconds. */
  recordDuration(
    name: string,
    milliseconds: number,
    labels: MetricLabels = {},
  ): void {
    let family = this.histograms.get(name);
    if (family === undefined) {
      family = {help: name, series: new Map()};
      this.histograms.set(name, family);
    }
    const key = JSON.stringify(labels);
    let series = family.series.get(key);
    if (series === undefined) {
      series = {
        labels,
        histogram: buildHistogram({
          lowestDiscernibleValue: 1,
          highestTrackableValue: 3_600_000_000,
          numberOfSignificantValueDigits: 2,
          autoResize: true,
        }),
        sum: 0,
      };
      family.series.set(key, series);
    }
    series.histogram.recordValue(Math.max(1, Math.round(milliseconds * 1000)));
    series.sum += milliseconds / 1000;
  }

  /** Renders all metrics in the Prometheus text format. */
  async render(): Promise<string> {
    const lines = [await this.registry.metrics()];
    for (const [name, family] of this.histograms) {
      lines.push(`# TYPE ${name} summary`);
      for (const series of family.series.values()) {
        for (const quantile of QUANTILES) {
          const seconds =
            series.histogram.getValueAtPercentile(quantile) / 1_000_000;
          const labels = {...series.labels, quantile: String(quantile / 100)};
          lines.push(`${name}${renderLabels(labels)} ${seconds}`);
        }
        const labels = renderLabels(series.labels);
        lines.push(`${name}_sum${labels} ${series.sum}`);
        lines.push(`${name}_count${labels} ${series.histogram.totalCount}`);
      }
    }
    return lines.join('\n') + '\n';
  }
}

function renderLabels(labels: MetricLabels): string {
  const parts = Object.entries(labels).map(
    ([name, value]) => `${name}=${JSON.stringify(value)}`,
  );
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}
