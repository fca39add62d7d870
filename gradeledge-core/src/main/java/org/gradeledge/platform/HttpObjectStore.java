package org.gradeledge.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import org.gradeledge.metrics.BoxMetrics;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * HTTP client of the object store. Thread-safe.
 *
 * @since 0.1
 */
public final class HttpObjectStore implements ObjectStore {

  private static final String PATH = "/v1/objects/";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final HttpPlatformClient http;

  /** Creates a client for a base URI with a timeout per call. */
  public HttpObjectStore(HttpClient client, URI base, Duration timeout, BoxMetrics metrics) {
    this.http = new HttpPlatformClient(client, base, timeout, metrics);
  }

  @Override
  public Mono<Void> put(String key, byte[] content) {
    return http.call("object-put", HttpMethod.PUT, PATH + key, content, OK).then();
  }

  @Override
  public Mono<Optional<byte[]>> get(String key) {
    return http.call("object-get", HttpMethod.GET, PATH + key, null, OK, NOT_FOUND)
        .map(answer -> answer.status() == OK ? Optional.of(answer.body()) : Optional.empty());
  }
}
