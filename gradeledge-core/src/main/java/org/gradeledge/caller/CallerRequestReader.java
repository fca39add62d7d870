package org.gradeledge.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.gradeledge.configuration.TextDigest;
import org.gradeledge.document.JsonMappers;
import org.gradeledge.http.BearerTokens;
import org.gradeledge.request.CallerRequest;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.jspecify.annotations.Nullable;
import reactor.netty.http.server.HttpServerRequest;

/** Makes a caller's request of its head and body, or refuses it with what is wrong. */
abstract class CallerRequestReader {

  private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;

  private CallerRequestReader() {}

  static CallerRequest read(String requestId, HttpServerRequest request, byte[] body) {
    return new CallerRequest(
        requestId,
        Objects.requireNonNull(request.param("pipeline")),
        BearerTokens.requireTokenDigest(request),
        parseDeadline(request.requestHeaders().get("Gradeledge-Deadline-Ms")),
        parseIdempotencyKey(request.requestHeaders().get("Idempotency-Key")),
        TextDigest.sha256(body),
        parseObject(body));
  }

  private static OptionalLong parseDeadline(@Nullable String header) {
    if (header == null) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(header.strip()));
    } catch (NumberFormatException e) {
      throw RefusalException.forReason(RefusalReason.DEADLINE_INVALID)
          .detail("Gradeledge-Deadline-Ms must be a whole number of milliseconds")
          .cause(e)
          .build();
    }
  }

  private static Optional<String> parseIdempotencyKey(@Nullable String header) {
    if (header == null) {
      return Optional.empty();
    }
    if (header.isBlank() || header.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
      throw malformed(
          "Idempotency-Key must have 1 to " + MAX_IDEMPOTENCY_KEY_LENGTH + " characters", null);
    }
    return Optional.of(header.strip());
  }

  private static ObjectNode parseObject(byte[] body) {
    try {
      JsonNode node = JsonMappers.json().readTree(body);
      if (node instanceof ObjectNode object) {
        return object;
      }
      throw malformed("the body must be a JSON object", null);
    } catch (IOException e) {
      throw malformed("the body must be valid JSON", e);
    }
  }

  private static RefusalException malformed(String detail, @Nullable Throwable cause) {
    return RefusalException.forReason(RefusalReason.MALFORMED_REQUEST)
        .detail(detail)
        .cause(cause)
        .build();
  }
}
