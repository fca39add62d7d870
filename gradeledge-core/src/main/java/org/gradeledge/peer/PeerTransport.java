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
 * TCP between boxes: length-prefixed frames of capped size, under TLS where contexts are given.
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

  /** Creates the transport; plain TCP where the contexts are absent. */
  public PeerTransport(Optional<SslContext> serverTls, Optional<SslContext> clientTls) {
    this(serverTls, clientTls, Optional.empty());
  }

  /** Creates the transport on the event loops given; on shared ones where they are absent. */
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
   * Returns where time-outs of connections run: on the event loop that is given, so that no second
   * thread is woken for them.
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
                  Connection[] held = new Connection[1];
                  in.withConnection(connection -> held[0] = connection);
                  return new PeerConnection(context, false, held[0]).run(in, out);
                });
    TcpServer placed = loops.map(each -> server.runOn(each, false)).orElse(server);
    return serverTls.map(tls -> placed.secure(spec -> spec.sslContext(tls))).orElse(placed).bind();
  }

  /** Dials, and completes once the connection is closed again. */
  Mono<Void> dial(InetSocketAddress address, PeerContext context) {
    TcpClient client =
        TcpClient.newConnection()
            .remoteAddress(() -> address)
            .resolver(DefaultAddressResolverGroup.INSTANCE)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .doOnConnected(PeerTransport::addFraming);
    TcpClient placed = loops.map(each -> client.runOn(each, false)).orElse(client);
    return clientTls
        .map(tls -> placed.secure(spec -> spec.sslContext(tls)))
        .orElse(placed)
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
