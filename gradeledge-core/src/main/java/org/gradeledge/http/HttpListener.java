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
 * Opens an HTTP port under the limits of the settings: HTTP/1.1, and HTTP/2 where the other side
 * asks for it.
 *
 * @since 0.1
 */
public abstract class HttpListener {

  private HttpListener() {}

  /** Binds the port. */
  public static Mono<? extends DisposableServer> bind(
      ListenSettings listen, LimitSettings limits, Consumer<HttpServerRoutes> routes) {
    AtomicInteger connections = new AtomicInteger();
    Optional<SslContext> tls = TlsContexts.httpServer(listen.tls());
    HttpServer server =
        HttpServer.create()
            .bindAddress(listen::address)
            .protocol(HttpProtocol.HTTP11, tls.isPresent() ? HttpProtocol.H2 : HttpProtocol.H2C)
            .httpRequestDecoder(spec -> spec.maxHeaderSize(limits.headerBytes()))
            .requestTimeout(limits.readTimeout())
            .idleTimeout(limits.idleTimeout())
            .doOnChannelInit(
                (observer, channel, remote) -> initializeConnection(channel, connections, limits))
            .route(routes);
    return tls.map(context -> server.secure(spec -> spec.sslContext(context)))
        .orElse(server)
        .bind();
  }

  /** Called once a connection; Reactor Netty's own connection hook is called for each request. */
  private static void initializeConnection(
      Channel channel, AtomicInteger open, LimitSettings limits) {
    channel.closeFuture().addListener(closed -> open.decrementAndGet());
    if (open.incrementAndGet() > limits.connections()) {
      channel.close();
      return;
    }
    channel
        .pipeline()
        .addFirst(
            new WriteTimeoutHandler(limits.callerWriteTimeout().toMillis(), TimeUnit.MILLISECONDS));
  }
}
