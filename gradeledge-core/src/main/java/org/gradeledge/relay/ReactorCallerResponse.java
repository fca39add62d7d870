package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Hands the answer of an exchange to Reactor Netty. Confined to the event loop. */
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

  private final Sinks.One<RelayAnswer> answer = Sinks.one();
  private final Sinks.Many<ByteBuf> eventSink = Sinks.many().unicast().onBackpressureBuffer();

  /** Returns the answer, once it has begun. */
  Mono<RelayAnswer> answer() {
    return answer.asMono();
  }

  @Override
  public void refuse(Refusal refusal, long retryAfterMillis) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (refusal.notRun()) {
      headers.set(HttpHeaderNames.RETRY_AFTER, formatSeconds(Math.max(0, retryAfterMillis)));
    }
    ByteBuf words = Unpooled.copiedBuffer(refusal.explanation(), StandardCharsets.UTF_8);
    headers.set(HttpHeaderNames.CONTENT_LENGTH, words.readableBytes());
    if (words.isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
    }
    Flux<ByteBuf> body = words.isReadable() ? Flux.just(words) : Flux.empty();
    answer.tryEmitValue(new RelayAnswer(refusal.status(), headers, body, false));
  }

  /** Returns seconds with all three decimals, put together by hand: a formatter is slow to load. */
  static String formatSeconds(long millis) {
    String decimals = String.valueOf(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND).substring(1);
    return millis / MILLIS_PER_SECOND + "." + decimals;
  }

  @Override
  public void answer(int status, HttpHeaders headers, ByteBuf body) {
    HttpHeaders passedOn = endToEndHeaders(headers);
    passedOn.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    Flux<ByteBuf> content = body.isReadable() ? Flux.just(body) : Flux.empty();
    answer.tryEmitValue(new RelayAnswer(status, passedOn, content, false));
  }

  @Override
  public void beginStream(int status, HttpHeaders headers) {
    answer.tryEmitValue(
        new RelayAnswer(status, endToEndHeaders(headers), eventSink.asFlux(), true));
  }

  @Override
  public void sendEvents(ByteBuf events) {
    if (eventSink.tryEmitNext(events).isFailure()) {
      events.release();
    }
  }

  @Override
  public void endStream() {
    eventSink.tryEmitComplete();
  }

  @Override
  public void abort() {
    eventSink.tryEmitError(new IOException("the upstream broke the stream off"));
  }

  private static HttpHeaders endToEndHeaders(HttpHeaders headers) {
    HttpHeaders passedOn = new DefaultHttpHeaders().set(headers);
    HOP_BY_HOP_HEADERS.forEach(passedOn::remove);
    return passedOn;
  }
}
