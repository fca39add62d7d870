package org.gradeledge.standin.load;

import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Statistics of the outcomes of a load run. */
public final class LoadReport {

  private static final long MAX_MICROS = 120_000_000L;

  private final List<Outcome> outcomes;

  /** Creates a report of the given outcomes. */
  public LoadReport(List<Outcome> outcomes) {
    this.outcomes = outcomes;
  }

  /** Returns the fraction of requests that completed within their deadline. */
  public double attainment() {
    return share(outcomes, Outcome.COMPLETED);
  }

  /** Returns the lowest attainment of a pipeline and account, excluding one account. */
  public double lowestAttainmentExcluding(String account) {
    return groupByTarget().values().stream()
        .filter(group -> !group.get(0).account().equals(account))
        .mapToDouble(group -> share(group, Outcome.COMPLETED))
        .min()
        .orElse(0);
  }

  /** Returns the number of requests with an outcome of the given kind. */
  public long count(String kind) {
    return outcomes.stream().filter(outcome -> outcome.kind().equals(kind)).count();
  }

  /** Returns a latency percentile of the completed requests, in milliseconds. */
  public double percentile(double percentile) {
    Histogram histogram = new Histogram(MAX_MICROS, 3);
    outcomes.stream()
        .filter(outcome -> outcome.kind().equals(Outcome.COMPLETED))
        .forEach(outcome -> histogram.recordValue(Math.min(MAX_MICROS, outcome.nanos() / 1_000)));
    return histogram.getValueAtPercentile(percentile) / 1_000.0;
  }

  /** Prints a table with a row per pipeline and account, and a summary. */
  public void print(PrintWriter out) {
    out.printf("%-18s %-16s %6s %11s  %s%n", "pipeline", "account", "sent", "attainment", "others");
    groupByTarget()
        .forEach(
            (name, group) -> {
              Outcome first = group.get(0);
              out.printf(
                  "%-18s %-16s %6d %10.1f%%  %s%n",
                  first.pipeline(),
                  first.account(),
                  group.size(),
                  100 * share(group, Outcome.COMPLETED),
                  countOtherKinds(group));
            });
    out.printf(
        "all: %d requests, attainment %.2f%%, wrong answers %d, p50 %.1f ms, p99 %.1f ms%n",
        outcomes.size(), 100 * attainment(), count(Outcome.WRONG), percentile(50), percentile(99));
    out.flush();
  }

  private Map<String, List<Outcome>> groupByTarget() {
    return outcomes.stream()
        .collect(
            Collectors.groupingBy(
                outcome -> outcome.pipeline() + " " + outcome.account(),
                TreeMap::new,
                Collectors.toList()));
  }

  private static Map<String, Long> countOtherKinds(List<Outcome> group) {
    return group.stream()
        .map(Outcome::kind)
        .filter(kind -> !kind.equals(Outcome.COMPLETED))
        .collect(Collectors.groupingBy(Function.identity(), TreeMap::new, Collectors.counting()));
  }

  private static double share(List<Outcome> group, String kind) {
    return group.isEmpty()
        ? 0
        : (double) group.stream().filter(outcome -> outcome.kind().equals(kind)).count()
            / group.size();
  }
}
