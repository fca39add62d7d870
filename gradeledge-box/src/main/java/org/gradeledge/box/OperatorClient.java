package org.gradeledge.box;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import javax.net.ssl.SSLException;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Makes one call to the operators' port of a box. */
final class OperatorClient {

  /** What came back. */
  record Reply(int status, byte[] body) {}

  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);

  private final String baseUrl;
  private final HttpClient client;

  OperatorClient(String box, String token, @Nullable Path caFile) {
    this.baseUrl = (caFile == null ? "http://" : "https://") + box;
    HttpClient plain =
        HttpClient.newConnection()
            .headers(headers -> headers.set("Authorization", "Bearer " + token));
    this.client =
        caFile == null ? plain : plain.secure(spec -> spec.sslContext(createSslContext(caFile)));
  }

  Reply get(String path) {
    return call(HttpMethod.GET, path, Map.of(), new byte[0]);
  }

  /** Makes a call; fails with an exception where the box does not answer. */
  Reply call(HttpMethod method, String path, Map<String, String> headers, byte[] body) {
    return client
        .headers(sent -> headers.forEach(sent::set))
        .request(method)
        .uri(baseUrl + path)
        .send(body.length == 0 ? Mono.empty() : Mono.just(Unpooled.wrappedBuffer(body)))
        .responseSingle(
            (response, content) ->
                content
                    .asByteArray()
                    .defaultIfEmpty(new byte[0])
                    .map(bytes -> new Reply(response.status().code(), bytes)))
        .block(RESPONSE_TIMEOUT);
  }

  private static SslContext createSslContext(Path caFile) {
    try {
      return SslContextBuilder.forClient().trustManager(caFile.toFile()).build();
    } catch (SSLException e) {
      throw new IllegalArgumentException("--ca-file must hold a PEM certificate", e);
    }
  }
}
