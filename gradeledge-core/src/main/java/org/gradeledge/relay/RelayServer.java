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
import org.gradeledge.event.EventLog;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * HTTP/1.1 server for callers. Confined to the event loop.
 *
 * @since 0.2
 */
public final class RelayServer {

  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final long DEFAULT_MAX_BODY_BYTES = 4L * 1024 * 1024;
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(75);
  private static final int BACKLOG = 1024;
  private static final AttributeKey<Boolean> PROCESSING = AttributeKey.valueOf("gradeledge.busy");

  private final RelayHandler handler;
  private final RelayProtocol protocol;
  private final DeploymentRegistry deployments;
  private final EventLog events;
  private final LoopResources loops;
  private final ChannelGroup connections;
  private int activeRequests;
  private boolean closeConnections;

  /** Creates the server without starting it. */
  public RelayServer(RelayHandler handler, RelayServices services, LoopResources loops) {
    this.handler = handler;
    this.protocol = services.protocol();
    this.deployments = services.deployments();
    this.events = services.events();
    this.loops = loops;
    this.connections = new DefaultChannelGroup(services.eventLoop());
  }

  /** Binds the server to an address. */
  public Mono<? extends DisposableServer> listen(InetSocketAddress address) {
    return HttpServer.create()
        .runOn(loops, false)
        .bindAddress(() -> address)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
        .requestTimeout(READ_TIMEOUT)
        .idleTimeout(IDLE_TIMEOUT)
        .doOnChannelInit((observer, channel, remote) -> connections.add(channel))
        .handle(this::handle)
        .bind();
  }

  /** Returns the number of requests in flight. */
  public int activeRequests() {
    return activeRequests;
  }

  /** Closes each connection after its next answer from now on. */
  public void closeAfterAnswers() {
    closeConnections = true;
  }

  /** Closes the connections that have no request in flight. */
  public void closeIdle() {
    connections.stream()
        .filter(channel -> !Boolean.TRUE.equals(channel.attr(PROCESSING).get()))
        .forEach(Channel::close);
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    Channel[] channel = new Channel[1];
    request.withConnection(connection -> channel[0] = connection.channel());
    channel[0].config().setAutoRead(true);
    begin(channel[0]);
    return readBody(request)
        .flatMap(bytes -> relay(request, bytes))
        .onErrorResume(BodyTooLargeException.class, e -> rejectTooLarge(request, response))
        .flatMap(answer -> write(response, answer))
        .doFinally(signal -> end(channel[0]));
  }

  private void begin(Channel channel) {
    channel.attr(PROCESSING).set(true);
    activeRequests++;
  }

  private void end(Channel channel) {
    channel.attr(PROCESSING).set(false);
    activeRequests--;
  }

  private Mono<byte[]> readBody(HttpServerRequest request) {
    long limit =
        deployments
            .current()
            .map(Deployment::callerLimits)
            .map(CallerLimits::maxBodyBytes)
            .orElse(DEFAULT_MAX_BODY_BYTES);
    return request
        .receive()
        .collect(ByteArrayOutputStream::new, (buffer, part) -> appendPart(buffer, part, limit))
        .map(ByteArrayOutputStream::toByteArray);
  }

  private static void appendPart(ByteArrayOutputStream buffer, ByteBuf part, long limit) {
    if (buffer.size() + part.readableBytes() > limit) {
      throw new BodyTooLargeException();
    }
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    buffer.writeBytes(bytes);
  }

  private Mono<RelayAnswer> relay(HttpServerRequest request, byte[] bytes) {
    return Mono.defer(
        () -> {
          ReactorCallerResponse response = new ReactorCallerResponse(request.method());
          return protocol
              .read(request, bytes)
              .fold(
                  error -> rejectUnreadable(request, error, response),
                  relayRequest -> relay(relayRequest, response));
        });
  }

  private Mono<RelayAnswer> rejectUnreadable(
      HttpServerRequest request, String reason, ReactorCallerResponse response) {
    events
        .problem("request-unreadable")
        .with("path", request.uri())
        .with("caller", String.valueOf(request.remoteAddress()))
        .with("why", reason)
        .write();
    response.refuse(Refusal.BAD_REQUEST, 0, reason);
    return response.answer();
  }

  private Mono<RelayAnswer> relay(RelayRequest request, ReactorCallerResponse response) {
    RelayHandler.ActiveRequest activeRequest = handler.handle(request, response);
    return response
        .answer()
        .doOnCancel(activeRequest::callerDisconnected)
        .map(answer -> withDisconnectHandler(answer, activeRequest));
  }

  private static RelayAnswer withDisconnectHandler(
      RelayAnswer answer, RelayHandler.ActiveRequest activeRequest) {
    Flux<ByteBuf> body = answer.body().doOnCancel(activeRequest::callerDisconnected);
    return new RelayAnswer(answer.status(), answer.headers(), body, answer.streaming());
  }

  private static Mono<RelayAnswer> rejectTooLarge(
      HttpServerRequest request, HttpServerResponse response) {
    ReactorCallerResponse refused = new ReactorCallerResponse(request.method());
    refused.refuse(Refusal.BODY_TOO_LARGE, 0);
    response.keepAlive(false);
    return refused.answer();
  }

  private Mono<Void> write(HttpServerResponse response, RelayAnswer answer) {
    response.status(answer.status()).headers(answer.headers());
    if (closeConnections) {
      response.keepAlive(false);
    }
    if (answer.streaming()) {
      response.chunkedTransfer(true);
      return response.sendObject(answer.body(), part -> true).then();
    }
    return response.send(answer.body()).then();
  }

  /** Thrown when a body exceeds the size limit. */
  private static final class BodyTooLargeException extends RuntimeException {

    private static final long serialVersionUID = 1L;
  }
}
