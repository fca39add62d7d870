package org.gradeledge.standin.measure;

import io.netty.buffer.Unpooled;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.UpstreamDefinition;
import org.gradeledge.standin.load.PipelineFileLoader;
import org.gradeledge.standin.load.ScheduledDelay;
import org.gradeledge.standin.load.Target;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Measures the latency that a box adds, compared to direct calls to the upstream. */
@Command(
    name = "overhead",
    mixinStandardHelpOptions = true,
    description = "Measures the latency that a box adds; alternates direct and relayed calls.")
public final class OverheadCommand implements Callable<Integer> {

  private static final double[] PERCENTILES = {50, 99};
  private static final int MIN_CALLS = 30;
  private static final int WARM_UP_CALLS = 3_000;

  @Spec private CommandSpec spec;

  @Option(names = "--box", required = true, description = "Address of the caller port.")
  private String box;

  @Option(
      names = "--pipeline",
      required = true,
      description = "Pipeline file with one encode stage.")
  private Path pipeline;

  @Option(names = "--rates", split = ",", defaultValue = "1,100,1000", description = "Calls/s.")
  private List<Integer> rates;

  @Option(names = "--seconds", defaultValue = "10", description = "Duration per rate.")
  private int seconds;

  private final HttpClient client =
      HttpClient.create(ConnectionProvider.builder("measure").maxConnections(500).build());

  @Override
  public Integer call() {
    PipelineFile file = PipelineFileLoader.load(List.of(pipeline)).get(0);
    PrintWriter out = spec.commandLine().getOut();
    measureInterleaved(file, 1_000, WARM_UP_CALLS, Statistics.histogram(), Statistics.histogram());
    for (int rate : rates) {
      Histogram directTimes = Statistics.histogram();
      Histogram relayedTimes = Statistics.histogram();
      measureInterleaved(
          file, rate, Math.max(MIN_CALLS, rate * seconds), directTimes, relayedTimes);
      for (double percentile : PERCENTILES) {
        double directMillis = Statistics.percentileMillis(directTimes, percentile);
        double relayedMillis = Statistics.percentileMillis(relayedTimes, percentile);
        out.printf(
            "{\"figure\":\"overhead\",\"rate\":%d,\"calls\":%d,\"percentile\":%.0f,"
                + "\"straightMs\":%.3f,\"throughMs\":%.3f,\"addedMs\":%.3f,\"ratio\":%.2f}%n",
            rate,
            relayedTimes.getTotalCount(),
            percentile,
            directMillis,
            relayedMillis,
            relayedMillis - directMillis,
            relayedMillis / directMillis);
        out.flush();
      }
    }
    return 0;
  }

  private void measureInterleaved(
      PipelineFile file, int rate, int calls, Histogram directTimes, Histogram relayedTimes) {
    Duration interval = Duration.ofNanos(1_000_000_000L / (2L * rate));
    long startNanos = System.nanoTime();
    Flux.range(0, 2 * calls)
        .concatMap(i -> ScheduledDelay.until(startNanos + i * interval.toNanos()).thenReturn(i), 1)
        .flatMap(
            i ->
                i % 2 == 0
                    ? timed(directCall(file, i), directTimes)
                    : timed(relayedCall(file, i), relayedTimes),
            1_000)
        .blockLast();
  }

  private static Mono<Integer> timed(Mono<Integer> call, Histogram histogram) {
    return Mono.defer(
        () -> {
          long startNanos = System.nanoTime();
          return call.doOnNext(
              status -> {
                if (status != 200) {
                  throw new IllegalStateException("unexpected status " + status);
                }
                synchronized (histogram) {
                  Statistics.record(histogram, System.nanoTime() - startNanos);
                }
              });
        });
  }

  private Mono<Integer> directCall(PipelineFile file, int number) {
    UpstreamDefinition upstream = file.upstreams().get(number / 2 % file.upstreams().size());
    String body = "{\"model\":\"e5-bg\",\"input\":[\"Търся място №" + number + "\"]}";
    return post("http://" + upstream.host() + ":" + upstream.port() + "/v1/embeddings", "", body);
  }

  private Mono<Integer> relayedCall(PipelineFile file, int number) {
    Target target = Target.of(List.of(file)).get(0);
    String body = "{\"text\":\"Търся място №" + number + "\"}";
    return post(
        "http://" + box + "/v1/pipelines/" + file.pipeline() + "/requests", target.token(), body);
  }

  private Mono<Integer> post(String uri, String token, String body) {
    return client
        .headers(headers -> headers.set("Authorization", "Bearer " + token))
        .post()
        .uri(uri)
        .send(Mono.fromSupplier(() -> Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)))
        .responseSingle(
            (response, content) -> content.asByteArray().thenReturn(response.status().code()));
  }
}
