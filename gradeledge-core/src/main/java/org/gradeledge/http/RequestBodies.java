package org.gradeledge.http;

import java.io.ByteArrayOutputStream;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads request bodies up to a maximum size.
 *
 * @since 0.1
 */
public abstract class RequestBodies {

  private RequestBodies() {}

  /** Reads the body; fails with {@link RefusalException} if it exceeds the maximum size. */
  public static Mono<byte[]> read(HttpServerRequest request, int maxBytes) {
    String length = request.requestHeaders().get("Content-Length");
    if (length != null && (length.length() > 9 || Long.parseLong(length) > maxBytes)) {
      return Mono.error(tooLarge(maxBytes));
    }
    return request
        .receive()
        .asByteArray()
        .collect(
            ByteArrayOutputStream::new,
            (body, chunk) -> {
              if (body.size() + chunk.length > maxBytes) {
                throw tooLarge(maxBytes);
              }
              body.writeBytes(chunk);
            })
        .map(ByteArrayOutputStream::toByteArray);
  }

  private static RefusalException tooLarge(int maxBytes) {
    return RefusalException.forReason(RefusalReason.BODY_TOO_LARGE)
        .detail("the body must be at most " + maxBytes + " bytes")
        .build();
  }
}
