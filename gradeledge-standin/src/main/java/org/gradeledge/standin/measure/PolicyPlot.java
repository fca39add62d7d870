package org.gradeledge.standin.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Writes a bar chart of the attainment of each policy by scenario. */
abstract class PolicyPlot {

  private static final int WIDTH = 1_000;
  private static final int HEIGHT = 500;

  private PolicyPlot() {}

  static void write(Path file, List<String> scenarios, Map<String, List<Double>> medians)
      throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("Share answered within the deadline, median of all seeds")
            .xAxisTitle("scenario")
            .yAxisTitle("attainment")
            .build();
    new TreeMap<>(medians).forEach((policy, values) -> chart.addSeries(policy, scenarios, values));
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
