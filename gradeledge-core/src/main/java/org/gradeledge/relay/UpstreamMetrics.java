package org.gradeledge.relay;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Arrays;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import org.gradeledge.connection.ResponseAnomaly;

/**
 * Metrics of upstreams: what they announce, the paths to them, and their responses. Thread-safe.
 *
 * @since 0.6
 */
public final class UpstreamMetrics {

  private final PrometheusRegistry registry;

  UpstreamMetrics(PrometheusRegistry registry) {
    this.registry = registry;
  }

  /**
   * Registers metrics of limits that upstreams announce.
   *
   * @param limited number of upstreams with a limit
   * @param skipped how often an upstream was skipped because of its limit
   */
  public void registerLimits(LongSupplier limited, LongSupplier skipped) {
    GaugeWithCallback.builder()
        .name("gradeledge_upstreams_limited")
        .help("Upstreams that name a limit of requests now")
        .callback(gauge -> gauge.call(limited.getAsLong()))
        .register(registry);
    CounterWithCallback.builder()
        .name("gradeledge_upstreams_held_off_total")
        .help("Times that a limited upstream was passed over, as it takes no more now")
        .callback(counter -> counter.call(skipped.getAsLong()))
        .register(registry);
  }

  /**
   * Registers metrics of signals in the answers of upstreams.
   *
   * @param leaving number of upstreams that announced to this box that they are leaving and are not
   *     listed as leaving
   * @param backingOff number of upstreams that are backing off
   * @param skipped how often an upstream was skipped because it was backing off
   */
  public void registerSignals(LongSupplier leaving, LongSupplier backingOff, LongSupplier skipped) {
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
        .callback(counter -> counter.call(skipped.getAsLong()))
        .register(registry);
  }

  /**
   * Registers metrics of the paths to upstreams.
   *
   * @param lost number of upstreams that only other boxes can connect to
   * @param opened number of tunnels that this box has opened through others
   * @param served number of open tunnels of other boxes through this one
   */
  public void registerPaths(LongSupplier lost, LongSupplier opened, LongSupplier served) {
    GaugeWithCallback.builder()
        .name("gradeledge_upstream_paths_lost")
        .help("Upstreams that other boxes can connect to and this one cannot")
        .callback(gauge -> gauge.call(lost.getAsLong()))
        .register(registry);
    CounterWithCallback.builder()
        .name("gradeledge_tunnels_opened_total")
        .help("Connections to upstreams that this box opened through another one")
        .callback(counter -> counter.call(opened.getAsLong()))
        .register(registry);
    GaugeWithCallback.builder()
        .name("gradeledge_tunnels_served")
        .help("Connections to upstreams that other boxes have open through this one")
        .callback(gauge -> gauge.call(served.getAsLong()))
        .register(registry);
  }

  /**
   * Registers the number of anomalies in the responses of upstreams.
   *
   * @param count returns the number of a kind
   */
  public void registerResponseAnomalies(ToLongFunction<ResponseAnomaly.Kind> count) {
    CounterWithCallback.builder()
        .name("gradeledge_upstream_response_anomalies_total")
        .help("Data of upstreams that was not the response to the call in flight, by kind")
        .labelNames("kind")
        .callback(
            counter ->
                Arrays.stream(ResponseAnomaly.Kind.values())
                    .forEach(kind -> counter.call(count.applyAsLong(kind), kind.label())))
        .register(registry);
  }
}
