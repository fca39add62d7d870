package org.gradeledge.http;

import io.netty.handler.timeout.WriteTimeoutHandler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.gradeledge.settings.LimitSettings;
import org.gradeledge.settings.ListenSettings;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
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
    Optional<io.netty.handler.ssl.SslContext> tls = TlsContexts.httpServer(listen.tls());
    HttpServer server =
        HttpServer.create()
            .bindAddress(listen::address)
            .protocol(HttpProtocol.HTTP11, tls.isPresent() ? HttpProtocol.H2 : HttpProtocol.H2C)
            .httpRequestDecoder(spec -> spec.maxHeaderSize(limits.headerBytes()))
            .requestTimeout(limits.readTimeout())
            .idleTimeout(limits.idleTimeout())
            .doOnConnection(connection -> admit(connection, connections, limits))
            .route(routes);
    return tls.map(context -> server.secure(spec -> spec.sslContext(context)))
        .orElse(server)
        .bind();
  }

  private static void admit(Connection connection, AtomicInteger open, LimitSettings limits) {
    if (connection.channel().parent() instanceof io.netty.channel.socket.SocketChannel) {
      return;
    }
    if (open.incrementAndGet() > limits.connections()) {
      connection.dispose();
    }
    connection.channel().closeFuture().addListener(closed -> open.decrementAndGet());
    connection.addHandlerFirst(
        new WriteTimeoutHandler(limits.callerWriteTimeout().toMillis(), TimeUnit.MILLISECONDS));
  }
}
