package org.gradeledge.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import io.netty.handler.codec.http.HttpMethod;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.gradeledge.metrics.BoxMetrics;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * HTTP client of the box list. Thread-safe.
 *
 * @since 0.1
 */
public final class HttpBoxList implements BoxList {

  private static final String PATH = "/v1/boxes";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final HttpPlatformClient http;

  /** Creates a client for a base URI with a timeout per call. */
  public HttpBoxList(HttpClient client, URI base, Duration timeout, BoxMetrics metrics) {
    this.http = new HttpPlatformClient(client, base, timeout, metrics);
  }

  @Override
  public Mono<List<ListedBox>> list() {
    return http.call("list-read", HttpMethod.GET, PATH, null, OK)
        .map(answer -> HttpPlatformClient.decode(answer.body(), new TypeReference<>() {}));
  }

  @Override
  public Mono<Void> announce(ListedBox box) {
    return http.call(
            "list-announce",
            HttpMethod.PUT,
            PATH + "/" + box.id(),
            HttpPlatformClient.encode(box),
            OK)
        .then();
  }

  @Override
  public Mono<Void> withdraw(String id) {
    return http.call("list-withdraw", HttpMethod.DELETE, PATH + "/" + id, null, OK, NOT_FOUND)
        .then();
  }
}
