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
 * HTTP client of the table service. Thread-safe.
 *
 * @since 0.1
 */
public final class HttpTableService implements TableService {

  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final HttpPlatformClient http;

  /** Creates a client for a base URI with a timeout per call. */
  public HttpTableService(HttpClient client, URI base, Duration timeout, BoxMetrics metrics) {
    this.http = new HttpPlatformClient(client, base, timeout, metrics);
  }

  @Override
  public Mono<CommitResult> commit(TableTransaction transaction) {
    return http.call(
            "table-commit",
            HttpMethod.POST,
            "/v1/table/commit",
            HttpPlatformClient.encode(transaction),
            OK,
            CONFLICT)
        .map(answer -> HttpPlatformClient.decode(answer.body(), new TypeReference<>() {}));
  }

  @Override
  public Mono<List<TableRow>> read(List<String> prefixes) {
    return http.call(
            "table-read",
            HttpMethod.POST,
            "/v1/table/read",
            HttpPlatformClient.encode(prefixes),
            OK)
        .map(answer -> HttpPlatformClient.decode(answer.body(), new TypeReference<>() {}));
  }
}
