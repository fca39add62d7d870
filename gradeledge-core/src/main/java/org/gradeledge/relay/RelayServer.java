package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.AttributeKey;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.gradeledge.deployment.CallerLimits;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.DeploymentRegistry;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * Listens for callers over HTTP/1.1. Confined to the event loop.
 *
 * @since 0.2
 */
public final class RelayServer {

  private static final int HEADER_BYTES = 64 * 1024;
  private static final long BODY_BYTES = 4L * 1024 * 1024;
  private static final Duration READ_LIMIT = Duration.ofSeconds(10);
  private static final Duration IDLE_LIMIT = Duration.ofSeconds(75);
  private static final int BACKLOG = 1024;
  private static final AttributeKey<Boolean> BUSY = AttributeKey.valueOf("gradeledge.busy");

  private final RelayHandler handler;
  private final RelayProtocol protocol;
  private final DeploymentRegistry deployments;
  private final LoopResources loops;
  private final ChannelGroup connections;
  private int active;
  private boolean closing;

  /** Creates the server; it does not listen yet. */
  public RelayServer(RelayHandler handler, RelayServices services, LoopResources loops) {
    this.handler = handler;
    this.protocol = services.protocol();
    this.deployments = services.deployments();
    this.loops = loops;
    this.connections = new DefaultChannelGroup(services.loop());
  }

  /** Starts to listen. */
  public Mono<? extends DisposableServer> listen(InetSocketAddress address) {
    return HttpServer.create()
        .runOn(loops, false)
        .bindAddress(() -> address)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .httpRequestDecoder(spec -> spec.maxHeaderSize(HEADER_BYTES))
        .requestTimeout(READ_LIMIT)
        .idleTimeout(IDLE_LIMIT)
        .doOnChannelInit((observer, channel, remote) -> connections.add(channel))
        .handle(this::handle)
        .bind();
  }

  /** Returns how many requests are under way. */
  public int active() {
    return active;
  }

  /** Tells callers with each answer from now on that their connection is closed. */
  public void closeAfterAnswers() {
    closing = true;
  }

  /** Closes the connections on which no request is under way. */
  public void closeIdle() {
    connections.stream()
        .filter(channel -> !Boolean.TRUE.equals(channel.attr(BUSY).get()))
        .forEach(Channel::close);
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    Channel[] channel = new Channel[1];
    request.withConnection(connection -> channel[0] = connection.channel());
    channel[0].config().setAutoRead(true);
    begin(channel[0]);
    return body(request)
        .flatMap(bytes -> relay(request, bytes))
        .onErrorResume(BodyTooLargeException.class, e -> tooLarge(response))
        .flatMap(answer -> write(response, answer))
        .doFinally(signal -> end(channel[0]));
  }

  private void begin(Channel channel) {
    channel.attr(BUSY).set(true);
    active++;
  }

  private void end(Channel channel) {
    channel.attr(BUSY).set(false);
    active--;
  }

  private Mono<byte[]> body(HttpServerRequest request) {
    long limit =
        deployments
            .current()
            .map(Deployment::callerLimits)
            .map(CallerLimits::maxBodyBytes)
            .orElse(BODY_BYTES);
    return request
        .receive()
        .collect(ByteArrayOutputStream::new, (gathered, part) -> gather(gathered, part, limit))
        .map(ByteArrayOutputStream::toByteArray);
  }

  private static void gather(ByteArrayOutputStream gathered, ByteBuf part, long limit) {
    if (gathered.size() + part.readableBytes() > limit) {
      throw new BodyTooLargeException();
    }
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    gathered.writeBytes(bytes);
  }

  private Mono<RelayAnswer> relay(HttpServerRequest request, byte[] bytes) {
    return Mono.defer(
        () -> {
          ReactorCallerResponse response = new ReactorCallerResponse();
          return protocol
              .read(request, bytes)
              .fold(why -> refused(response), read -> relay(read, response));
        });
  }

  private static Mono<RelayAnswer> refused(ReactorCallerResponse response) {
    response.refuse(Refusal.BAD_REQUEST, 0);
    return response.answer();
  }

  private Mono<RelayAnswer> relay(RelayRequest request, ReactorCallerResponse response) {
    RelayHandler.Running running = handler.handle(request, response);
    return response
        .answer()
        .doOnCancel(running::callerGone)
        .map(answer -> cancelling(answer, running));
  }

  private static RelayAnswer cancelling(RelayAnswer answer, RelayHandler.Running running) {
    Flux<ByteBuf> body = answer.body().doOnCancel(running::callerGone);
    return new RelayAnswer(answer.status(), answer.headers(), body, answer.stream());
  }

  private static Mono<RelayAnswer> tooLarge(HttpServerResponse response) {
    ReactorCallerResponse refused = new ReactorCallerResponse();
    refused.refuse(Refusal.BODY_TOO_LARGE, 0);
    response.keepAlive(false);
    return refused.answer();
  }

  private Mono<Void> write(HttpServerResponse response, RelayAnswer answer) {
    response.status(answer.status()).headers(answer.headers());
    if (closing) {
      response.keepAlive(false);
    }
    if (answer.stream()) {
      response.chunkedTransfer(true);
      return response.sendObject(answer.body(), part -> true).then();
    }
    return response.send(answer.body()).then();
  }

  /** The body is over the bound. */
  private static final class BodyTooLargeException extends RuntimeException {

    private static final long serialVersionUID = 1L;
  }
}
