package org.gradeledge.standin.measure;

import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import org.gradeledge.standin.StandInHttp;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Submits changes sequentially and measures the time until each is active on all boxes. */
@Command(
    name = "changes",
    mixinStandardHelpOptions = true,
    description = "Measures the time from submission until a change is active on all boxes.")
public final class ChangesCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Option(
      names = "--operators",
      split = ",",
      required = true,
      description = "Addresses of the operator ports.")
  private List<String> operators;

  @Option(names = "--operator-token", required = true, description = "Operator token.")
  private String token;

  @Option(names = "--file", required = true, description = "Pipeline file.")
  private Path file;

  @Option(names = "--base", defaultValue = "1", description = "Active version.")
  private long base;

  @Option(names = "--count", defaultValue = "200", description = "Number of changes.")
  private int count;

  @Option(names = "--gap-ms", defaultValue = "0", description = "Pause between changes.")
  private long gapMillis;

  private final HttpClient client = HttpClient.newConnection();

  @Override
  public Integer call() throws IOException {
    byte[] text = Files.readAllBytes(file);
    String pipeline = StandInHttp.parseJson(text).path("pipeline").asText();
    Histogram times = Statistics.histogram();
    List<Integer> otherStatuses = new ArrayList<>();
    long beginNanos = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long startNanos = System.nanoTime();
      int status = submit(operators.get(i % operators.size()), pipeline, text);
      if (status == 200) {
        base++;
        Statistics.record(times, System.nanoTime() - startNanos);
      } else {
        otherStatuses.add(status);
      }
      if (gapMillis > 0) {
        Mono.delay(Duration.ofMillis(gapMillis)).block();
      }
    }
    double seconds = (System.nanoTime() - beginNanos) / 1e9;
    spec.commandLine()
        .getOut()
        .printf(
            "{\"figure\":\"changes\",\"boxes\":%d,\"accepted\":%d,\"others\":%s,\"p50Ms\":%.1f,"
                + "\"p99Ms\":%.1f,\"maxMs\":%.1f,\"perSecond\":%.1f,\"fileBytes\":%d}%n",
            operators.size(),
            times.getTotalCount(),
            otherStatuses,
            Statistics.percentileMillis(times, 50),
            Statistics.percentileMillis(times, 99),
            Statistics.percentileMillis(times, 100),
            count / seconds,
            text.length);
    spec.commandLine().getOut().flush();
    return 0;
  }

  private int submit(String operator, String pipeline, byte[] text) {
    return client
        .headers(
            headers -> {
              headers.set("Authorization", "Bearer " + token);
              headers.set("If-Match", "\"" + base + "\"");
              headers.set("Gradeledge-Submission-Id", UUID.randomUUID().toString());
            })
        .put()
        .uri("http://" + operator + "/v1/pipelines/" + pipeline)
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(text)))
        .responseSingle(
            (response, content) -> content.asByteArray().thenReturn(response.status().code()))
        .block();
  }
}
