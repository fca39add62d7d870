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

/** Submits changes one after another and measures the time until each is in force everywhere. */
@Command(
    name = "changes",
    mixinStandardHelpOptions = true,
    description = "Time from submission to in force on every box.")
public final class ChangesCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Option(names = "--operators", split = ",", required = true, description = "Operators' ports.")
  private List<String> operators;

  @Option(names = "--operator-token", required = true, description = "Token.")
  private String token;

  @Option(names = "--file", required = true, description = "Pipeline file.")
  private Path file;

  @Option(names = "--base", defaultValue = "1", description = "Version in force.")
  private long base;

  @Option(names = "--count", defaultValue = "200", description = "How many changes.")
  private int count;

  @Option(names = "--gap-ms", defaultValue = "0", description = "Pause between changes.")
  private long gapMillis;

  private final HttpClient client = HttpClient.newConnection();

  @Override
  public Integer call() throws IOException {
    byte[] text = Files.readAllBytes(file);
    String name = StandInHttp.parseJson(text).path("pipeline").asText();
    Histogram times = Statistics.histogram();
    List<Integer> others = new ArrayList<>();
    long begin = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long start = System.nanoTime();
      int status = submit(operators.get(i % operators.size()), name, text);
      if (status == 200) {
        base++;
        Statistics.record(times, System.nanoTime() - start);
      } else {
        others.add(status);
      }
      if (gapMillis > 0) {
        Mono.delay(Duration.ofMillis(gapMillis)).block();
      }
    }
    double seconds = (System.nanoTime() - begin) / 1e9;
    spec.commandLine()
        .getOut()
        .printf(
            "{\"figure\":\"changes\",\"boxes\":%d,\"accepted\":%d,\"others\":%s,\"p50Ms\":%.1f,"
                + "\"p99Ms\":%.1f,\"maxMs\":%.1f,\"perSecond\":%.1f,\"fileBytes\":%d}%n",
            operators.size(),
            times.getTotalCount(),
            others,
            Statistics.percentileMillis(times, 50),
            Statistics.percentileMillis(times, 99),
            Statistics.percentileMillis(times, 100),
            count / seconds,
            text.length);
    spec.commandLine().getOut().flush();
    return 0;
  }

  private int submit(String operator, String name, byte[] text) {
    return client
        .headers(
            headers -> {
              headers.set("Authorization", "Bearer " + token);
              headers.set("If-Match", "\"" + base + "\"");
              headers.set("Gradeledge-Submission-Id", UUID.randomUUID().toString());
            })
        .put()
        .uri("http://" + operator + "/v1/pipelines/" + name)
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(text)))
        .responseSingle(
            (response, content) -> content.asByteArray().thenReturn(response.status().code()))
        .block();
  }
}
