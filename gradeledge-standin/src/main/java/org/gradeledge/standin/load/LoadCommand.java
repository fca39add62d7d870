package org.gradeledge.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.standin.StandInHttp;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import reactor.netty.http.client.HttpClient;

/** Sends load and prints attainment by account and cost by stage. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = "Sends open-loop load; prints attainment by account and cost by stage.")
public final class LoadCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Option(names = "--boxes", split = ",", required = true, description = "Callers' ports.")
  private List<String> boxes;

  @Option(names = "--operators", split = ",", description = "Operators' ports, for costs.")
  private List<String> operators = List.of();

  @Option(names = "--operator-token", defaultValue = "", description = "Token for costs.")
  private String operatorToken;

  @Option(names = "--pipelines", required = true, description = "Pipeline files in force.")
  private List<Path> pipelines;

  @Option(names = "--rate", defaultValue = "100", description = "Requests a second.")
  private double rate;

  @Option(names = "--count", defaultValue = "400", description = "Requests in all, about.")
  private int count;

  @Option(names = "--seed", defaultValue = "1", description = "Seed of times and choices.")
  private long seed;

  @Override
  public Integer call() {
    List<PipelineFile> files = PipelineFileLoader.load(pipelines);
    List<Outcome> outcomes =
        Objects.requireNonNull(
            new LoadRun(boxes, LoadPlan.poisson(Target.of(files), rate, 0, count / rate, seed))
                .run()
                .block());
    LoadReport report = new LoadReport(outcomes);
    PrintWriter out = spec.commandLine().getOut();
    report.print(out);
    printCosts(out);
    return report.count(Outcome.WRONG) == 0 ? 0 : 1;
  }

  private void printCosts(PrintWriter out) {
    Map<String, double[]> costs = new TreeMap<>();
    for (String operator : operators) {
      for (JsonNode cost : fetchCosts(operator)) {
        String stage = cost.path("pipeline").asText() + " " + cost.path("stage").asText();
        double[] sum = costs.computeIfAbsent(stage, name -> new double[4]);
        sum[0] += cost.path("upstreamMillis").asDouble();
        sum[1] += cost.path("wastedMillis").asDouble();
        sum[2] += cost.path("tokensIn").asDouble();
        sum[3] += cost.path("tokensOut").asDouble();
      }
    }
    if (!costs.isEmpty()) {
      out.printf(
          "%-34s %12s %10s %10s %10s%n", "stage", "upstream ms", "wasted ms", "tokens in", "out");
    }
    costs.forEach(
        (stage, sum) ->
            out.printf(
                "%-34s %12.0f %10.0f %10.0f %10.0f%n", stage, sum[0], sum[1], sum[2], sum[3]));
    out.flush();
  }

  private JsonNode fetchCosts(String operator) {
    byte[] body =
        HttpClient.newConnection()
            .headers(headers -> headers.set("Authorization", "Bearer " + operatorToken))
            .get()
            .uri("http://" + operator + "/v1/costs")
            .responseSingle((response, content) -> content.asByteArray())
            .block();
    return StandInHttp.parseJson(Objects.requireNonNull(body));
  }
}
