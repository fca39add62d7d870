package org.gradeledge.http;

import java.io.ByteArrayOutputStream;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads request bodies up to a bound.
 *
 * @since 0.1
 */
public abstract class RequestBodies {

  private RequestBodies() {}

  /** Returns the whole body; fails with {@link RefusalException} once it exceeds the bound. */
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
            (body, part) -> {
              if (body.size() + part.length > maxBytes) {
                throw tooLarge(maxBytes);
              }
              body.writeBytes(part);
            })
        .map(ByteArrayOutputStream::toByteArray);
  }

  private static RefusalException tooLarge(int maxBytes) {
    return RefusalException.forReason(RefusalReason.BODY_TOO_LARGE)
        .detail("the body must be at most " + maxBytes + " bytes")
        .build();
  }
}
