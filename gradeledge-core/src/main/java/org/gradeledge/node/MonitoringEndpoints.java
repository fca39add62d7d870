package org.gradeledge.node;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.relay.RelayMetrics;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/** What a box tells of itself over HTTP: whether it is ready, and its metrics. */
final class MonitoringEndpoints {

  private static final int HTTP_OK = 200;
  private static final int HTTP_UNAVAILABLE = 503;

  private final LoopResources loops;
  private final RelayMetrics relayMetrics;
  private final BoxMetrics boxMetrics;

  MonitoringEndpoints(LoopResources loops, RelayMetrics relayMetrics, BoxMetrics boxMetrics) {
    this.loops = loops;
    this.relayMetrics = relayMetrics;
    this.boxMetrics = boxMetrics;
  }

  /** Starts to tell whether the box is ready. */
  Mono<?> bindReadiness(InetSocketAddress address, BooleanSupplier ready) {
    return HttpServer.create()
        .runOn(loops, false)
        .bindAddress(() -> address)
        .handle(
            (request, response) ->
                response
                    .status(ready.getAsBoolean() ? HTTP_OK : HTTP_UNAVAILABLE)
                    .header("Content-Length", "0")
                    .send())
        .bind();
  }

  /** Starts to tell the metrics, if there is an address for them. */
  Mono<?> bindMetrics(Optional<InetSocketAddress> address) {
    return address.isEmpty()
        ? Mono.empty()
        : HttpServer.create()
            .runOn(loops, false)
            .bindAddress(address::get)
            .handle(
                (request, response) ->
                    response.sendByteArray(
                        Mono.fromSupplier(relayMetrics::scrape)
                            .concatWith(Mono.fromSupplier(boxMetrics::exposition))))
            .bind();
  }
}
