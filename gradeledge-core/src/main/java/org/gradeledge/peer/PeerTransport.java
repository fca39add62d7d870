package org.gradeledge.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.ssl.SslContext;
import io.netty.resolver.DefaultAddressResolverGroup;
import java.net.InetSocketAddress;
import java.util.Optional;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * TCP transport between boxes with length-prefixed frames of limited size, and with TLS if contexts
 * are given.
 *
 * @since 0.1
 */
public final class PeerTransport {

  static final int LENGTH_FIELD_BYTES = 4;
  private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;
  private static final int CONNECT_MILLIS = 1_000;

  private final Optional<SslContext> serverTls;
  private final Optional<SslContext> clientTls;
  private final Optional<LoopResources> loops;
  private final Scheduler scheduler;

  /** Creates a transport on shared event loops; it uses plain TCP if the contexts are absent. */
  public PeerTransport(Optional<SslContext> serverTls, Optional<SslContext> clientTls) {
    this(serverTls, clientTls, Optional.empty());
  }

  /** Creates a transport on the given event loops, or on shared ones if they are absent. */
  public PeerTransport(
      Optional<SslContext> serverTls,
      Optional<SslContext> clientTls,
      Optional<LoopResources> loops) {
    this.serverTls = serverTls;
    this.clientTls = clientTls;
    this.loops = loops;
    this.scheduler =
        loops
            .map(each -> Schedulers.fromExecutorService(each.onClient(false).next()))
            .orElseGet(Schedulers::parallel);
  }

  /**
   * Returns the scheduler of timeouts: an event loop, if given, so that timeouts wake no other
   * thread.
   */
  Scheduler scheduler() {
    return scheduler;
  }

  Mono<? extends DisposableServer> listen(InetSocketAddress address, PeerContext context) {
    TcpServer server =
        TcpServer.create()
            .bindAddress(() -> address)
            .doOnConnection(PeerTransport::addFraming)
            .handle(
                (in, out) -> {
                  Connection[] holder = new Connection[1];
                  in.withConnection(connection -> holder[0] = connection);
                  return new PeerConnection(context, false, holder[0]).run(in, out);
                });
    TcpServer configured = loops.map(each -> server.runOn(each, false)).orElse(server);
    return serverTls
        .map(tls -> configured.secure(spec -> spec.sslContext(tls)))
        .orElse(configured)
        .bind();
  }

  /** Dials an address; completes once the connection is closed. */
  Mono<Void> dial(InetSocketAddress address, PeerContext context) {
    TcpClient client =
        TcpClient.newConnection()
            .remoteAddress(() -> address)
            .resolver(DefaultAddressResolverGroup.INSTANCE)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .doOnConnected(PeerTransport::addFraming);
    TcpClient configured = loops.map(each -> client.runOn(each, false)).orElse(client);
    return clientTls
        .map(tls -> configured.secure(spec -> spec.sslContext(tls)))
        .orElse(configured)
        .connect()
        .flatMap(
            connection ->
                Mono.from(
                        new PeerConnection(context, true, connection)
                            .run(connection.inbound(), connection.outbound()))
                    .doFinally(signal -> connection.dispose()));
  }

  private static void addFraming(Connection connection) {
    ChannelHandler decoder =
        new LengthFieldBasedFrameDecoder(
            MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
    connection.addHandlerLast("frame-decoder", decoder);
  }
}
