package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Calls to an upstream whose response arrives in several pieces. */
class ResponseInPiecesTests {

  private static final int MIN_PIECES = 2;
  private static final int MAX_PIECES = 16;
  private static final List<String> FAILED =
      List.of(CallFailure.BROKEN.name(), CallFailure.GARBLED.name());
  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("u", "service", "10.0.0.1", 1, "zone", 1, false);

  private static Stream<Arguments> numbersOfPieces() {
    return Stream.of(ResponseForm.values())
        .flatMap(
            form ->
                IntStream.rangeClosed(MIN_PIECES, MAX_PIECES)
                    .mapToObj(count -> Arguments.of(form, count)));
  }

  // Guards against a response that is lost, or ends early, because its head comes in pieces.
  @ParameterizedTest
  @MethodSource("numbersOfPieces")
  void isCompleteOnlyAfterTheLastPiece(ResponseForm form, int count) {
    Exchange exchange = new Exchange(form);
    String bytes = form.bytes();

    for (int piece = 0; piece < count; piece++) {
      assertThat(exchange.outcome).isEmpty();
      exchange.receive(
          bytes.substring(bytes.length() * piece / count, bytes.length() * (piece + 1) / count));
    }

    assertThat(exchange.outcome).contains(form.outcome());
  }

  @ParameterizedTest
  @EnumSource(ResponseForm.class)
  void isCompleteOnlyAfterTheLastByteOfAResponseInSingleBytes(ResponseForm form) {
    Exchange exchange = new Exchange(form);

    for (char next : form.bytes().toCharArray()) {
      assertThat(exchange.outcome).isEmpty();
      exchange.receive(String.valueOf(next));
    }

    assertThat(exchange.outcome).contains(form.outcome());
  }

  // Guards against pieces that count as a whole response once the connection has ended.
  @ParameterizedTest
  @MethodSource("numbersOfPieces")
  void failsIfTheConnectionEndsBeforeTheLastPiece(ResponseForm form, int count) {
    String bytes = form.bytes();
    for (int received = 0; received < count; received++) {
      Exchange closed = new Exchange(form);
      Exchange reset = new Exchange(form);
      for (int piece = 0; piece < received; piece++) {
        String text =
            bytes.substring(bytes.length() * piece / count, bytes.length() * (piece + 1) / count);
        List.of(closed, reset).forEach(exchange -> exchange.receive(text));
      }
      closed.close();
      reset.reset();

      assertThat(closed.outcome.orElseThrow()).isIn(FAILED);
      assertThat(reset.outcome.orElseThrow()).isIn(FAILED);
    }
  }

  /** A call whose response the test writes. */
  private static final class Exchange implements CallListener, TunnelConnector {

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final StringBuilder body = new StringBuilder();
    private int status;
    private Optional<String> outcome = Optional.empty();

    Exchange(ResponseForm form) {
      PooledUpstreamCaller caller =
          new PooledUpstreamCaller(
              channel.eventLoop(),
              UpstreamConnectors.withTunnelsOnly(channel.eventLoop(), UPSTREAM, this),
              target -> 1,
              System::nanoTime);
      caller.call(
          UPSTREAM,
          new OutgoingRequest(
              form.method(),
              "/",
              new DefaultHttpHeaders().set("Host", "a"),
              new byte[0],
              ResponseForm.ID.map(id -> new CorrelationHeader(RecordedCalls.ID_HEADER, id)),
              ConnectionReuse.ANY),
          this);
      channel.runPendingTasks();
      channel.releaseOutbound();
    }

    void receive(String text) {
      channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    void close() {
      channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    }

    void reset() {
      channel.close();
    }

    @Override
    public void connect(UpstreamRecord target, Consumer<Result> listener) {
      Tunnel tunnel = new Tunnel(channel, "box", () -> true);
      listener.accept(new Result(PathCheck.REACHED, Optional.of(tunnel)));
    }

    @Override
    public void check(UpstreamRecord target, Consumer<PathCheck> listener) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void onHead(int responseStatus, HttpHeaders headers) {
      status = responseStatus;
    }

    @Override
    public void onContent(ByteBuf content) {
      body.append(content.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onComplete() {
      outcome = Optional.of(status + " " + body);
    }

    @Override
    public void onFailure(CallFailure failure) {
      outcome = Optional.of(failure.name());
    }
  }
}
