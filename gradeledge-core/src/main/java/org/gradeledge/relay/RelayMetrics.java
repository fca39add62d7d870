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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.gradeledge.batch.PieceOutcome;
import org.gradeledge.batch.StageMeter;
import org.gradeledge.deployment.Repeatability;

/**
 * Metrics of relayed requests. Times are in seconds. Thread-safe.
 *
 * @since 0.2
 */
public final class RelayMetrics implements StageMeter {

  /** Bounds the number of time series where a configuration has many routes. */
  private static final int MAX_LABELLED_ROUTES = 100;

  private static final String OTHER_ROUTES = "other";

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Set<String> labelledRoutes = ConcurrentHashMap.newKeySet();
  private final UpstreamMetrics upstreams = new UpstreamMetrics(registry);

  private final Counter requests =
      Counter.builder()
          .name("gradeledge_relay_requests_total")
          .help("Relayed requests that ended, by kind and outcome")
          .labelNames("kind", "outcome")
          .withoutExemplars()
          .register(registry);

  private final Counter answers =
      Counter.builder()
          .name("gradeledge_relay_answers_total")
          .help("Answers that ended, by how the caller sees it")
          .labelNames("end")
          .withoutExemplars()
          .register(registry);

  private final Counter routeResults =
      Counter.builder()
          .name("gradeledge_relay_route_results_total")
          .help("Requests that ended, by route and what came of them")
          .labelNames("route", "result")
          .withoutExemplars()
          .register(registry);

  private final Counter stagePieces =
      Counter.builder()
          .name("gradeledge_stage_pieces_total")
          .help("Pieces of stage work that this box queued, by what came of them")
          .labelNames("service", "priority", "outcome")
          .withoutExemplars()
          .register(registry);

  private final Counter stageUpstreamSeconds =
      Counter.builder()
          .name("gradeledge_stage_upstream_seconds_total")
          .help("Time that upstreams spent on stage work of this box")
          .labelNames("service", "priority")
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

  private final Counter resumptions =
      Counter.builder()
          .name("gradeledge_stream_resumptions_total")
          .help("Streams that callers resumed, by who knew their origin or why they cannot go on")
          .labelNames("outcome")
          .withoutExemplars()
          .register(registry);

  /**
   * Registers metrics of the origins of streams that this box stores.
   *
   * @param stored number of streams
   * @param evicted number of records that were dropped before their callers gave up
   */
  public void registerStreamOrigins(LongSupplier stored, LongSupplier evicted) {
    GaugeWithCallback.builder()
        .name("gradeledge_stream_origins")
        .help("Streams whose origin this box stores, some of which have expired")
        .callback(gauge -> gauge.call(stored.getAsLong()))
        .register(registry);
    CounterWithCallback.builder()
        .name("gradeledge_stream_origins_evicted_total")
        .help("Origins of streams that were dropped for lack of room")
        .callback(counter -> counter.call(evicted.getAsLong()))
        .register(registry);
  }

  /** Returns the metrics of upstreams, which are served together with these. */
  public UpstreamMetrics upstreams() {
    return upstreams;
  }

  /** Counts a stream that a caller resumes. */
  void streamResumed(String outcome) {
    resumptions.labelValues(outcome).inc();
  }

  /** Counts a suspension of the machine. */
  public void suspended() {
    suspensions.inc();
  }

  /** Counts a row of the list of upstreams that cannot be read. */
  public void unreadableRow() {
    unreadableRows.inc();
  }

  /** Counts a request that has ended. */
  public void requestEnded(Repeatability kind, String outcome, long millis) {
    requests.labelValues(name(kind), outcome).inc();
    seconds.labelValues(name(kind)).observe(millis / 1e3);
  }

  /** Counts a request of a route by its result. */
  void routeResult(String route, String result) {
    boolean labelled =
        labelledRoutes.contains(route)
            || labelledRoutes.size() < MAX_LABELLED_ROUTES && labelledRoutes.add(route);
    routeResults.labelValues(labelled ? route : OTHER_ROUTES, result).inc();
  }

  @Override
  public void recordPieces(String service, int priority, PieceOutcome outcome, int pieces) {
    stagePieces.labelValues(service, Integer.toString(priority), outcome.label()).inc(pieces);
  }

  @Override
  public void recordUpstreamTime(String service, int priority, double millis) {
    stageUpstreamSeconds.labelValues(service, Integer.toString(priority)).inc(millis / 1e3);
  }

  /** Counts an answer that has ended. */
  void answerEnded(AnswerEnd end) {
    answers.labelValues(end.label()).inc();
  }

  /** Records the duration of the stage work of a request. */
  public void stagesCompleted(Repeatability kind, long millis) {
    stageSeconds.labelValues(name(kind)).observe(millis / 1e3);
  }

  /** Counts an attempt by its result. */
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
