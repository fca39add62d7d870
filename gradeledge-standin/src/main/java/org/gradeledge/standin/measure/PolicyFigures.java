package org.gradeledge.standin.measure;

import java.util.List;
import java.util.Locale;
import org.gradeledge.standin.load.LoadReport;
import org.gradeledge.standin.load.Outcome;

/** Median and range of the runs of one policy in one scenario. */
final class PolicyFigures {

  private final List<LoadReport> reports;
  private final String flooding;

  /** Creates the figures; {@code flooding} is the account that is not to count as faring badly. */
  PolicyFigures(List<LoadReport> reports, String flooding) {
    this.reports = reports;
    this.flooding = flooding;
  }

  double medianAttainment() {
    return Figures.median(attainments());
  }

  String line(String scenario, String policy) {
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
        Figures.median(shares),
        Figures.least(shares),
        Figures.most(shares),
        Figures.median(completed),
        Figures.median(slowest),
        wrong,
        Figures.median(
            reports.stream().map(report -> report.leastAttainmentWithout(flooding)).toList()));
  }

  private List<Double> attainments() {
    return reports.stream().map(LoadReport::attainment).toList();
  }
}
