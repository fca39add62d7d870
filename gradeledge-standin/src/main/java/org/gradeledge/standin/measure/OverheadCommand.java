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

/** Measures the time that a box adds to a call, against the same call straight to the upstream. */
@Command(
    name = "overhead",
    mixinStandardHelpOptions = true,
    description = "Time that a box adds to one plain call, straight and through in turn.")
public final class OverheadCommand implements Callable<Integer> {

  private static final double[] PERCENTILES = {50, 99};
  private static final int MIN_CALLS = 30;
  private static final int WARM_UP_CALLS = 3_000;

  @Spec private CommandSpec spec;

  @Option(names = "--box", required = true, description = "Callers' port.")
  private String box;

  @Option(names = "--pipeline", required = true, description = "File of one encode stage.")
  private Path pipeline;

  @Option(names = "--rates", split = ",", defaultValue = "1,100,1000", description = "Calls/s.")
  private List<Integer> rates;

  @Option(names = "--seconds", defaultValue = "10", description = "Time for each rate.")
  private int seconds;

  private final HttpClient client =
      HttpClient.create(ConnectionProvider.builder("measure").maxConnections(500).build());

  @Override
  public Integer call() {
    PipelineFile file = PipelineFileLoader.load(List.of(pipeline)).get(0);
    PrintWriter out = spec.commandLine().getOut();
    measureInterleaved(file, 1_000, WARM_UP_CALLS, Statistics.histogram(), Statistics.histogram());
    for (int rate : rates) {
      Histogram straight = Statistics.histogram();
      Histogram through = Statistics.histogram();
      measureInterleaved(file, rate, Math.max(MIN_CALLS, rate * seconds), straight, through);
      for (double percentile : PERCENTILES) {
        double direct = Statistics.percentileMillis(straight, percentile);
        double all = Statistics.percentileMillis(through, percentile);
        out.printf(
            "{\"figure\":\"overhead\",\"rate\":%d,\"calls\":%d,\"percentile\":%.0f,"
                + "\"straightMs\":%.3f,\"throughMs\":%.3f,\"addedMs\":%.3f,\"ratio\":%.2f}%n",
            rate, through.getTotalCount(), percentile, direct, all, all - direct, all / direct);
        out.flush();
      }
    }
    return 0;
  }

  private void measureInterleaved(
      PipelineFile file, int rate, int calls, Histogram straight, Histogram through) {
    Duration gap = Duration.ofNanos(1_000_000_000L / (2L * rate));
    long start = System.nanoTime();
    Flux.range(0, 2 * calls)
        .concatMap(i -> ScheduledDelay.until(start + i * gap.toNanos()).thenReturn(i), 1)
        .flatMap(
            i ->
                i % 2 == 0
                    ? timed(directCall(file, i), straight)
                    : timed(relayedCall(file, i), through),
            1_000)
        .blockLast();
  }

  private static Mono<Integer> timed(Mono<Integer> call, Histogram histogram) {
    return Mono.defer(
        () -> {
          long start = System.nanoTime();
          return call.doOnNext(
              status -> {
                if (status != 200) {
                  throw new IllegalStateException("a call was answered with " + status);
                }
                synchronized (histogram) {
                  Statistics.record(histogram, System.nanoTime() - start);
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
