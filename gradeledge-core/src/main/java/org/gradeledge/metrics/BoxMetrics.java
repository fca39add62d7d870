package org.gradeledge.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;

/**
 * Everything that a box counts, in one Prometheus registry of its own.
 *
 * <p>Labels hold names from settings and pipeline files only, never tokens or request content.
 * Times are in seconds. Thread-safe.
 *
 * @since 0.1
 */
public final class BoxMetrics {

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private boolean jvmMetricsRegistered;

  private final Counter requests =
      Counter.builder()
          .name("gradeledge_requests_total")
          .help("Requests answered, by verdict and reason")
          .labelNames("pipeline", "account", "verdict", "reason")
          .withoutExemplars()
          .register(registry);

  private final Histogram requestSeconds =
      Histogram.builder()
          .name("gradeledge_request_seconds")
          .help("Time from receipt to answer")
          .labelNames("pipeline")
          .withoutExemplars()
          .register(registry);

  private final CostLedger costs = new CostLedger(registry);

  private final Counter droppedAnswers =
      Counter.builder()
          .name("gradeledge_dropped_answers_total")
          .help("Upstream answers that belonged to another call")
          .labelNames("upstream")
          .withoutExemplars()
          .register(registry);

  private final Counter peerMessages =
      Counter.builder()
          .name("gradeledge_peer_messages_total")
          .help("Messages between boxes")
          .labelNames("type", "direction")
          .withoutExemplars()
          .register(registry);

  private final Counter peerBytes =
      Counter.builder()
          .name("gradeledge_peer_bytes_total")
          .help("Bytes between boxes, frames whole")
          .labelNames("type", "direction")
          .withoutExemplars()
          .register(registry);

  private final Counter platformCalls =
      Counter.builder()
          .name("gradeledge_platform_calls_total")
          .help("Calls to the platform")
          .labelNames("call", "result")
          .withoutExemplars()
          .register(registry);

  private final Counter changes =
      Counter.builder()
          .name("gradeledge_changes_total")
          .help("Changes of configuration submitted here, by verdict")
          .labelNames("pipeline", "verdict")
          .withoutExemplars()
          .register(registry);

  private final Gauge versionInForce =
      Gauge.builder()
          .name("gradeledge_version_in_force")
          .help("Version of a pipeline that this box serves")
          .labelNames("pipeline")
          .register(registry);

  private final Counter stateChanges =
      Counter.builder()
          .name("gradeledge_state_changes_total")
          .help("Changes of state that were also logged")
          .labelNames("change")
          .withoutExemplars()
          .register(registry);

  /** Counts an answered request. */
  public void request(String pipeline, String account, String verdict, String reason, long nanos) {
    requests.labelValues(pipeline, account, verdict, reason).inc();
    requestSeconds.labelValues(pipeline).observe(nanos / 1e9);
  }

  /** Returns what each stage consumes. */
  public CostLedger costs() {
    return costs;
  }

  /** Counts an answer that belonged to another call. */
  public void droppedAnswer(String upstream) {
    droppedAnswers.labelValues(upstream).inc();
  }

  /** Counts a message between boxes. */
  public void peerMessage(String type, String direction, int bytes) {
    peerMessages.labelValues(type, direction).inc();
    peerBytes.labelValues(type, direction).inc(bytes);
  }

  /** Counts a call to the platform, by its name and whether it was answered. */
  public void platformCall(String call, boolean answered) {
    platformCalls.labelValues(call, answered ? "answered" : "failed").inc();
  }

  /** Counts a change of configuration by its verdict. */
  public void change(String pipeline, String verdict) {
    changes.labelValues(pipeline, verdict).inc();
  }

  /** Shows the version that this box serves. */
  public void versionInForce(String pipeline, long version) {
    versionInForce.labelValues(pipeline).set(version);
  }

  /** Counts a change of state that a log line tells too. */
  public void stateChange(String change) {
    stateChanges.labelValues(change).inc();
  }

  /** Shows a value that is read whenever the metrics are. */
  public void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Returns all metrics and the process's own figures in the Prometheus text format. */
  public byte[] exposition() {
    registerJvmMetrics();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory cannot fail", e);
    }
    return out.toByteArray();
  }

  /** The process's figures load much of the JVM's management, which a box need not wait for. */
  private synchronized void registerJvmMetrics() {
    if (!jvmMetricsRegistered) {
      jvmMetricsRegistered = true;
      JvmMetrics.builder().register(registry);
    }
  }
}
