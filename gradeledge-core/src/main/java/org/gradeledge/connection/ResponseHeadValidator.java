package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;

/** Finds response heads that must not be used although they can be decoded. */
final class ResponseHeadValidator {

  private ResponseHeadValidator() {}

  /** Returns why the head of a response to a request must not be used; empty if it may be. */
  static Optional<String> findDefect(HttpResponse response, OutgoingRequest request) {
    return findInvalidStatusLine(response)
        .or(
            () ->
                SecondStatusLine.find(response.status(), response.headers())
                    .map(text -> "second status line: " + text))
        .or(() -> findUnknownLength(response.headers()))
        .or(() -> findSeveralIds(response.headers(), request));
  }

  private static Optional<String> findInvalidStatusLine(HttpResponse response) {
    boolean valid =
        HttpVersion.HTTP_1_1.equals(response.protocolVersion())
            && StatusCode.isValid(response.status().codeAsText().toString());
    return valid
        ? Optional.empty()
        : Optional.of(response.protocolVersion() + " " + response.status());
  }

  /** Finds heads that leave open where the response ends: two lengths, or an unknown coding. */
  private static Optional<String> findUnknownLength(HttpHeaders headers) {
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!codings.isEmpty() && !isChunkedOnly(codings)) {
      return Optional.of("transfer codings " + codings);
    }
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    boolean several = lengths.size() > 1 || lengths.stream().anyMatch(each -> each.contains(","));
    return several ? Optional.of("several lengths " + lengths) : Optional.empty();
  }

  /** Finds heads that announce a body where the protocol has none. */
  static Optional<String> findImpossibleBody(HttpResponse response) {
    boolean bodiless =
        HttpResponseStatus.NO_CONTENT.equals(response.status())
            || response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    boolean announced =
        response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
            || HttpUtil.getContentLength(response, 0L) != 0;
    return bodiless && announced
        ? Optional.of("status " + response.status().code() + " with a body")
        : Optional.empty();
  }

  private static boolean isChunkedOnly(List<String> codings) {
    return codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
  }

  private static Optional<String> findSeveralIds(HttpHeaders headers, OutgoingRequest request) {
    List<String> ids =
        request
            .correlationHeader()
            .map(expected -> headers.getAll(expected.header()))
            .orElse(List.of());
    return ids.stream().distinct().count() > 1
        ? Optional.of("several ids " + ids)
        : Optional.empty();
  }
}
