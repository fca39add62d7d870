package org.gradeledge.standin.measure;

import java.util.List;
import java.util.Locale;
import org.gradeledge.standin.load.LoadReport;
import org.gradeledge.standin.load.Outcome;

/** Median and range of the runs of one policy in one scenario. */
final class PolicyStatistics {

  private final List<LoadReport> reports;
  private final String floodingAccount;

  /** Creates the figures; {@code flooding} is the account that is not to count as faring badly. */
  PolicyStatistics(List<LoadReport> reports, String flooding) {
    this.reports = reports;
    this.floodingAccount = flooding;
  }

  double medianAttainment() {
    return Statistics.median(attainments());
  }

  String toJsonLine(String scenario, String policy) {
    List<Double> shares = attainments();
    List<Double> completed =
        reports.stream().map(report -> (double) report.count(Outcome.COMPLETED)).toList();
    List<Double> slowest = reports.stream().map(report -> report.percentile(99)).toList();
    long wrong = reports.stream().mapToLong(report -> report.count(Outcome.WRONG)).sum();
    return String.format(
        Locale.ROOT,
        "{\"figure\":\"policy\",\"scenario\":\"%s\",\"policy\":\"%s\",\"runs\":%d,"
            + "\"attainment\":%.4f,\"least\":%.4f,\"most\":%.4f,\"completed\":%.0f,"
            + "\"p99Ms\":%.0f,\"wrong\":%d,\"leastOfAnAccount\":%.4f}",
        scenario,
        policy,
        shares.size(),
        Statistics.median(shares),
        Statistics.min(shares),
        Statistics.max(shares),
        Statistics.median(completed),
        Statistics.median(slowest),
        wrong,
        Statistics.median(
            reports.stream()
                .map(report -> report.lowestAttainmentExcluding(floodingAccount))
                .toList()));
  }

  private List<Double> attainments() {
    return reports.stream().map(LoadReport::attainment).toList();
  }
}
