package org.gradeledge.metrics;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Accumulates the costs of stages by pipeline, stage and client account. Thread-safe.
 *
 * @since 0.1
 */
public final class CostLedger {

  private static final String[] KEY_LABELS = {"pipeline", "stage", "account"};

  private record Key(String pipeline, String stage, String account) {}

  private static final class Sum {
    final LongAdder nanos = new LongAdder();
    final LongAdder wastedNanos = new LongAdder();
    final LongAdder tokensIn = new LongAdder();
    final LongAdder tokensOut = new LongAdder();
    final Map<AttemptResult, LongAdder> attempts = new ConcurrentHashMap<>();
  }

  private final Counter seconds;
  private final Counter tokens;
  private final Counter attempts;
  private final Map<Key, Sum> sums = new ConcurrentHashMap<>();

  CostLedger(PrometheusRegistry registry) {
    this.seconds =
        counter(registry, "gradeledge_stage_upstream_seconds_total", "Time upstreams spent", "use");
    this.tokens = counter(registry, "gradeledge_stage_tokens_total", "Tokens", "direction");
    this.attempts =
        counter(
            registry, "gradeledge_stage_attempts_total", "Calls by what became of them", "result");
  }

  /** Adds the cost of one call. */
  public void add(StageCost cost) {
    boolean used = cost.result() == AttemptResult.USED;
    String[] key = {cost.pipeline(), cost.stage(), cost.account()};
    labelled(seconds, key, used ? "used" : "wasted").inc(cost.nanos() / 1e9);
    labelled(attempts, key, cost.result().wireName()).inc();
    labelled(tokens, key, "in").inc(cost.tokensIn());
    labelled(tokens, key, "out").inc(cost.tokensOut());
    Sum sum =
        sums.computeIfAbsent(
            new Key(cost.pipeline(), cost.stage(), cost.account()), name -> new Sum());
    (used ? sum.nanos : sum.wastedNanos).add(cost.nanos());
    sum.tokensIn.add(cost.tokensIn());
    sum.tokensOut.add(cost.tokensOut());
    sum.attempts.computeIfAbsent(cost.result(), result -> new LongAdder()).increment();
  }

  /** Returns the totals since the box started, sorted by pipeline, stage and account. */
  public List<CostTotal> totals() {
    return sums.entrySet().stream()
        .map(entry -> total(entry.getKey(), entry.getValue()))
        .sorted(
            Comparator.comparing(CostTotal::pipeline)
                .thenComparing(CostTotal::stage)
                .thenComparing(CostTotal::account))
        .toList();
  }

  private static CostTotal total(Key key, Sum sum) {
    Map<String, Long> byResult = new TreeMap<>();
    sum.attempts.forEach((result, count) -> byResult.put(result.wireName(), count.sum()));
    return new CostTotal(
        key.pipeline(),
        key.stage(),
        key.account(),
        sum.nanos.sum() / 1e6,
        sum.wastedNanos.sum() / 1e6,
        sum.tokensIn.sum(),
        sum.tokensOut.sum(),
        byResult);
  }

  private static CounterDataPoint labelled(Counter counter, String[] key, String lastValue) {
    return counter.labelValues(key[0], key[1], key[2], lastValue);
  }

  private static Counter counter(
      PrometheusRegistry registry, String name, String help, String lastLabel) {
    return Counter.builder()
        .name(name)
        .help(help)
        .labelNames(KEY_LABELS[0], KEY_LABELS[1], KEY_LABELS[2], lastLabel)
        .withoutExemplars()
        .register(registry);
  }
}
