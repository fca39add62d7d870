package org.gradeledge.relay;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.function.LongSupplier;
import org.gradeledge.deployment.Repeatability;

/**
 * What a box counts of the requests that it relays. Times are in seconds. Thread-safe.
 *
 * @since 0.2
 */
public final class RelayMetrics {

  private final PrometheusRegistry registry = new PrometheusRegistry();

  private final Counter requests =
      Counter.builder()
          .name("gradeledge_relay_requests_total")
          .help("Relayed requests that ended, by kind and outcome")
          .labelNames("kind", "outcome")
          .withoutExemplars()
          .register(registry);

  private final Histogram seconds =
      Histogram.builder()
          .name("gradeledge_relay_request_seconds")
          .help("Time from receipt to the end of the answer")
          .labelNames("kind")
          .classicOnly()
          .withoutExemplars()
          .register(registry);

  private final Histogram stageSeconds =
      Histogram.builder()
          .name("gradeledge_relay_stages_seconds")
          .help("Time until the stage work of a request was done")
          .labelNames("kind")
          .classicOnly()
          .withoutExemplars()
          .register(registry);

  private final Counter attempts =
      Counter.builder()
          .name("gradeledge_relay_attempts_total")
          .help("Requests sent to upstreams, by what came of them")
          .labelNames("result")
          .withoutExemplars()
          .register(registry);

  private final Counter unreadableRows =
      Counter.builder()
          .name("gradeledge_upstream_rows_unreadable_total")
          .help("Rows of the list of upstreams that name none, each counted once a change")
          .withoutExemplars()
          .register(registry);

  private final Counter suspensions =
      Counter.builder()
          .name("gradeledge_suspensions_total")
          .help("Times that the machine was suspended and woke up")
          .withoutExemplars()
          .register(registry);

  /**
   * Shows limits that upstreams name.
   *
   * @param limited how many name one now
   * @param heldOff how often one was passed over so far, as nothing more may be sent there
   */
  public void registerLimits(LongSupplier limited, LongSupplier heldOff) {
    GaugeWithCallback.builder()
        .name("gradeledge_upstreams_limited")
        .help("Upstreams that name a limit of requests now")
        .callback(gauge -> gauge.call(limited.getAsLong()))
        .register(registry);
    CounterWithCallback.builder()
        .name("gradeledge_upstreams_held_off_total")
        .help("Times that a limited upstream was passed over, as it takes no more now")
        .callback(counter -> counter.call(heldOff.getAsLong()))
        .register(registry);
  }

  /**
   * Shows what upstreams say of themselves in their answers.
   *
   * @param leaving how many have said so to this box, are still listed, and not as leaving
   * @param backingOff how many want nothing from this box now
   * @param heldOff how often one was passed over so far, as it wants nothing for a while
   */
  public void registerSignals(LongSupplier leaving, LongSupplier backingOff, LongSupplier heldOff) {
    GaugeWithCallback.builder()
        .name("gradeledge_upstreams_announced_leaving")
        .help("Upstreams that told this box that they leave while the list does not say so")
        .callback(gauge -> gauge.call(leaving.getAsLong()))
        .register(registry);
    GaugeWithCallback.builder()
        .name("gradeledge_upstreams_backing_off")
        .help("Upstreams that turned a request away and want nothing from this box now")
        .callback(gauge -> gauge.call(backingOff.getAsLong()))
        .register(registry);
    CounterWithCallback.builder()
        .name("gradeledge_upstreams_backoff_held_off_total")
        .help("Times that an upstream was passed over, as it wants nothing for a while")
        .callback(counter -> counter.call(heldOff.getAsLong()))
        .register(registry);
  }

  /** Counts that the machine was suspended. */
  public void suspended() {
    suspensions.inc();
  }

  /** Counts a row of the list of upstreams that names none. */
  public void unreadableRow() {
    unreadableRows.inc();
  }

  /** Counts a request that ended. */
  public void requestEnded(Repeatability kind, String outcome, long millis) {
    requests.labelValues(name(kind), outcome).inc();
    seconds.labelValues(name(kind)).observe(millis / 1e3);
  }

  /** Counts the stage work of a request. */
  public void stagesCompleted(Repeatability kind, long millis) {
    stageSeconds.labelValues(name(kind)).observe(millis / 1e3);
  }

  /** Counts what came of a request that was sent to an upstream. */
  public void attemptEnded(String result) {
    attempts.labelValues(result).inc();
  }

  /** Returns all metrics in the Prometheus text format. */
  public byte[] scrape() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory cannot fail", e);
    }
    return out.toByteArray();
  }

  private static String name(Repeatability kind) {
    return kind.name().toLowerCase(Locale.ROOT);
  }
}
