package org.gradeledge.http;

import io.netty.channel.Channel;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.WriteTimeoutHandler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.gradeledge.settings.LimitSettings;
import org.gradeledge.settings.ListenSettings;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Binds HTTP servers that enforce the configured limits and support HTTP/1.1 and HTTP/2.
 *
 * @since 0.1
 */
public abstract class HttpListener {

  private HttpListener() {}

  /** Binds a server to the configured address. */
  public static Mono<? extends DisposableServer> bind(
      ListenSettings listen, LimitSettings limits, Consumer<HttpServerRoutes> routes) {
    AtomicInteger connectionCount = new AtomicInteger();
    Optional<SslContext> tls = TlsContexts.httpServer(listen.tls());
    HttpServer server =
        HttpServer.create()
            .bindAddress(listen::address)
            .protocol(HttpProtocol.HTTP11, tls.isPresent() ? HttpProtocol.H2 : HttpProtocol.H2C)
            .httpRequestDecoder(spec -> spec.maxHeaderSize(limits.headerBytes()))
            .requestTimeout(limits.readTimeout())
            .idleTimeout(limits.idleTimeout())
            .doOnChannelInit(
                (observer, channel, remote) ->
                    initializeConnection(channel, connectionCount, limits))
            .route(routes);
    return tls.map(context -> server.secure(spec -> spec.sslContext(context)))
        .orElse(server)
        .bind();
  }

  /**
   * Enforces the connection limit and the write timeout. Runs on channel initialization, since
   * {@code doOnConnection} of Reactor Netty runs for each request.
   */
  private static void initializeConnection(
      Channel channel, AtomicInteger connectionCount, LimitSettings limits) {
    channel.closeFuture().addListener(closed -> connectionCount.decrementAndGet());
    if (connectionCount.incrementAndGet() > limits.connections()) {
      channel.close();
      return;
    }
    channel
        .pipeline()
        .addFirst(
            new WriteTimeoutHandler(limits.callerWriteTimeout().toMillis(), TimeUnit.MILLISECONDS));
  }
}
