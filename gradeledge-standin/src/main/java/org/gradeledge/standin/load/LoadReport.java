package org.gradeledge.standin.load;

import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Prints what a load run came to. */
public final class LoadReport {

  private static final long MAX_MICROS = 120_000_000L;

  private final List<Outcome> outcomes;

  /** Creates a report of some outcomes. */
  public LoadReport(List<Outcome> outcomes) {
    this.outcomes = outcomes;
  }

  /** Returns the share of requests answered whole within their deadline. */
  public double attainment() {
    return share(outcomes, Outcome.COMPLETED);
  }

  /** Returns the attainment of the pipeline and account that fared worst, but for one account. */
  public double lowestAttainmentExcluding(String account) {
    return groupByTarget().values().stream()
        .filter(of -> !of.get(0).account().equals(account))
        .mapToDouble(of -> share(of, Outcome.COMPLETED))
        .min()
        .orElse(0);
  }

  /** Returns how many requests ended in a way. */
  public long count(String kind) {
    return outcomes.stream().filter(outcome -> outcome.kind().equals(kind)).count();
  }

  /** Returns a percentile of the time of completed requests, in milliseconds. */
  public double percentile(double percentile) {
    Histogram histogram = new Histogram(MAX_MICROS, 3);
    outcomes.stream()
        .filter(outcome -> outcome.kind().equals(Outcome.COMPLETED))
        .forEach(outcome -> histogram.recordValue(Math.min(MAX_MICROS, outcome.nanos() / 1_000)));
    return histogram.getValueAtPercentile(percentile) / 1_000.0;
  }

  /** Prints a table. */
  public void print(PrintWriter out) {
    out.printf("%-18s %-16s %6s %11s  %s%n", "pipeline", "account", "sent", "attainment", "others");
    groupByTarget()
        .forEach(
            (name, of) -> {
              Outcome first = of.get(0);
              out.printf(
                  "%-18s %-16s %6d %10.1f%%  %s%n",
                  first.pipeline(),
                  first.account(),
                  of.size(),
                  100 * share(of, Outcome.COMPLETED),
                  countOtherKinds(of));
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

  private static Map<String, Long> countOtherKinds(List<Outcome> of) {
    return of.stream()
        .map(Outcome::kind)
        .filter(kind -> !kind.equals(Outcome.COMPLETED))
        .collect(Collectors.groupingBy(Function.identity(), TreeMap::new, Collectors.counting()));
  }

  private static double share(List<Outcome> of, String kind) {
    return of.isEmpty()
        ? 0
        : (double) of.stream().filter(outcome -> outcome.kind().equals(kind)).count() / of.size();
  }
}
