package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Publishes the answer of a request to Reactor Netty. Confined to the event loop. */
final class ReactorCallerResponse implements CallerResponse {

  private static final List<CharSequence> HOP_BY_HOP_HEADERS =
      List.of(
          HttpHeaderNames.CONNECTION,
          "keep-alive",
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TE,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.CONTENT_LENGTH);
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final HttpMethod method;

  private final Sinks.One<RelayAnswer> answer = Sinks.one();
  private final Sinks.Many<ByteBuf> eventSink = Sinks.many().unicast().onBackpressureBuffer();

  /** Creates the answer to a request with a method. */
  ReactorCallerResponse(HttpMethod method) {
    this.method = method;
  }

  /** Returns the answer; it is emitted when its head is available. */
  Mono<RelayAnswer> answer() {
    return answer.asMono();
  }

  @Override
  public void refuse(Refusal refusal, long retryAfterMillis, String subject) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (refusal.notRun()) {
      headers.set(HttpHeaderNames.RETRY_AFTER, formatSeconds(Math.max(0, retryAfterMillis)));
    }
    ByteBuf explanation =
        Unpooled.copiedBuffer(refusal.explanation(subject), StandardCharsets.UTF_8);
    headers.set(HttpHeaderNames.CONTENT_LENGTH, explanation.readableBytes());
    if (explanation.isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
    }
    Flux<ByteBuf> body = explanation.isReadable() ? Flux.just(explanation) : Flux.empty();
    answer.tryEmitValue(new RelayAnswer(refusal.status(), headers, body, false));
  }

  /**
   * Formats milliseconds as seconds with three decimals, without a formatter, which is slow to
   * load.
   */
  static String formatSeconds(long millis) {
    String decimals = String.valueOf(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND).substring(1);
    return millis / MILLIS_PER_SECOND + "." + decimals;
  }

  @Override
  public void answer(int status, HttpHeaders headers, ByteBuf body) {
    HttpHeaders forwarded = endToEndHeaders(headers);
    if (isBodyOmitted(status)) {
      headers.getAll(HttpHeaderNames.CONTENT_LENGTH).stream()
          .filter(length -> status != NO_CONTENT)
          .forEach(length -> forwarded.set(HttpHeaderNames.CONTENT_LENGTH, length));
    } else {
      forwarded.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    Flux<ByteBuf> content = body.isReadable() ? Flux.just(body) : Flux.empty();
    answer.tryEmitValue(new RelayAnswer(status, forwarded, content, false));
  }

  /** Returns whether the length in a head is not that of the body, which the protocol omits. */
  private boolean isBodyOmitted(int status) {
    return method.equals(HttpMethod.HEAD) || status == NO_CONTENT || status == NOT_MODIFIED;
  }

  @Override
  public void beginStream(int status, HttpHeaders headers) {
    answer.tryEmitValue(
        new RelayAnswer(status, endToEndHeaders(headers), eventSink.asFlux(), true));
  }

  @Override
  public boolean sendEvents(ByteBuf events) {
    boolean accepted = eventSink.tryEmitNext(events).isSuccess();
    if (!accepted) {
      events.release();
    }
    return accepted;
  }

  @Override
  public void endStream() {
    eventSink.tryEmitComplete();
  }

  @Override
  public void abort() {
    eventSink.tryEmitError(new IOException("upstream closed the stream before its end"));
  }

  private static HttpHeaders endToEndHeaders(HttpHeaders headers) {
    HttpHeaders forwarded = new DefaultHttpHeaders().set(headers);
    HOP_BY_HOP_HEADERS.forEach(forwarded::remove);
    return forwarded;
  }
}
