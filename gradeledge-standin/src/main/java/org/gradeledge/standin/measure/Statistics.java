package org.gradeledge.standin.measure;

import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Sums up repeated measurements. */
abstract class Statistics {

  private static final long MAX_MICROS = 120_000_000L;

  private Statistics() {}

  static Histogram histogram() {
    return new Histogram(MAX_MICROS, 3);
  }

  static void record(Histogram histogram, long nanos) {
    histogram.recordValue(Math.min(MAX_MICROS, Math.max(1, nanos / 1_000)));
  }

  static double percentileMillis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1_000.0;
  }

  static double median(List<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    int middle = sorted.length / 2;
    return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
  }

  static double min(List<Double> values) {
    return Arrays.stream(values.toArray(new Double[0])).min(Double::compare).orElse(0.0);
  }

  static double max(List<Double> values) {
    return Arrays.stream(values.toArray(new Double[0])).max(Double::compare).orElse(0.0);
  }
}
