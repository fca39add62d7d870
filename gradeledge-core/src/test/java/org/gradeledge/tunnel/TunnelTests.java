package org.gradeledge.tunnel;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.DirectDialer;
import org.gradeledge.connection.PathCheck;
import org.gradeledge.connection.TunnelConnector;
import org.gradeledge.connection.UpstreamPaths;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reactor.core.publisher.Mono;

/** Tests tunnels from a {@link TunnelClient} through a {@link TunnelServer} to an upstream. */
@Timeout(30)
class TunnelTests {

  private static final String BOX = "127.0.0.1:1";
  private static final int LARGE_BYTES = 3_000_000;

  /** More than the socket buffers on the way hold. */
  private static final int UNREAD_BYTES = 64 * 1024 * 1024;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final DirectDialer dialer = new DirectDialer(loop);
  private final UpstreamPaths paths =
      new UpstreamPaths(
          loop,
          System::nanoTime,
          EventLogs.silent(),
          List::of,
          (target, listener) -> dialer.check(target, UpstreamPaths.CHECK_TIMEOUT, listener));
  private final ServerSocket upstream;
  private final TunnelServer server =
      new TunnelServer(loop, dialer, paths, id -> Optional.of(record()));
  private final TunnelClient client =
      new TunnelClient(
          loop,
          System::nanoTime,
          dialer,
          new FakeTunnelPeers(List.of(BOX), box -> true, (box, request) -> newOffer(request)));
  private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

  TunnelTests() throws IOException {
    upstream = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
  }

  @BeforeEach
  void listen() {
    server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).block();
  }

  @AfterEach
  void close() throws IOException {
    upstream.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void forwardsInBothDirections() throws Exception {
    Channel channel = connect();
    Socket accepted = upstream.accept();
    channel.writeAndFlush(Unpooled.copiedBuffer("question", StandardCharsets.US_ASCII));

    byte[] question = accepted.getInputStream().readNBytes(8);
    accepted.getOutputStream().write("answer".getBytes(StandardCharsets.US_ASCII));

    assertThat(new String(question, StandardCharsets.US_ASCII)).isEqualTo("question");
    assertThat(received.take()).isEqualTo("answer");
  }

  @Test
  void forwardsMoreThanTheBuffersHold() throws Exception {
    Channel channel = connect();
    Socket accepted = upstream.accept();
    channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[LARGE_BYTES]));

    assertThat(accepted.getInputStream().readNBytes(LARGE_BYTES)).hasSize(LARGE_BYTES);
  }

  @Test
  void endOfUpstreamConnectionIsNoError() throws Exception {
    connect();
    Socket accepted = upstream.accept();
    accepted.getOutputStream().write("answer".getBytes(StandardCharsets.US_ASCII));
    accepted.close();

    assertThat(List.of(received.take(), received.take(), received.take()))
        .containsExactly("answer", "end", "closed");
  }

  // Guards against an answer without a length that looks complete although it was reset.
  @Test
  void resetOfUpstreamConnectionIsReportedAsError() throws Exception {
    connect();
    Socket accepted = upstream.accept();
    accepted.setSoLinger(true, 0);
    accepted.close();

    assertThat(List.of(received.take(), received.take())).containsExactly("error", "closed");
  }

  // Guards against a reset that the box in between meets while it writes, and takes for the end.
  @Test
  void resetWhileARequestIsForwardedIsReportedAsError() throws Exception {
    Channel channel = connect();
    Socket accepted = upstream.accept();
    channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[UNREAD_BYTES]));
    accepted.getOutputStream().write("answer".getBytes(StandardCharsets.US_ASCII));
    assertThat(received.take()).isEqualTo("answer");

    accepted.setSoLinger(true, 0);
    accepted.close();

    assertThat(takeUntilClosed()).doesNotContain("end");
  }

  // Guards against the end of an upstream that did not receive the whole request.
  @Test
  void endOfUpstreamConnectionIsAnErrorWhileARequestIsForwarded() throws Exception {
    Channel channel = connect();
    Socket accepted = upstream.accept();
    channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[UNREAD_BYTES]));
    accepted.getOutputStream().write("answer".getBytes(StandardCharsets.US_ASCII));
    assertThat(received.take()).isEqualTo("answer");

    accepted.shutdownOutput();

    assertThat(takeUntilClosed()).contains("error").doesNotContain("end");
  }

  // Guards against an upstream that goes on working for a caller that has left.
  @Test
  void closesUpstreamConnectionWhenTunnelIsClosed() throws Exception {
    Channel channel = connect();
    Socket accepted = upstream.accept();

    channel.close();

    assertThat(accepted.getInputStream().read()).isEqualTo(-1);
  }

  // Guards against a tunnel through a box that has lost the path itself.
  @Test
  void boxWithoutPathOffersNoTunnel() throws Exception {
    loop.submit(() -> paths.recordReachedBy("other", record(), PathCheck.REFUSED)).get();

    CompletableFuture<TunnelConnector.Result> result = new CompletableFuture<>();
    loop.execute(() -> client.connect(record(), result::complete));

    assertThat(result.get().check()).isEqualTo(PathCheck.UNAVAILABLE);
    assertThat(result.get().tunnel()).isEmpty();
  }

  @Test
  void closesConnectionWithoutValidTicket() throws Exception {
    int port = server.offer(new TunnelRequest("u", true)).block().port();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(new byte[TunnelServer.TICKET_LENGTH]);

      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }

  private List<String> takeUntilClosed() throws InterruptedException {
    List<String> events = new ArrayList<>();
    do {
      events.add(received.take());
    } while (!events.contains("closed"));
    return events;
  }

  private Channel connect() throws Exception {
    CompletableFuture<Channel> connected = new CompletableFuture<>();
    loop.execute(
        () ->
            client.connect(
                record(),
                result -> {
                  Channel channel = result.tunnel().orElseThrow().channel();
                  channel.pipeline().addLast(new Receiver());
                  channel.config().setAutoRead(true);
                  connected.complete(channel);
                }));
    return connected.get();
  }

  private UpstreamRecord record() {
    return new UpstreamRecord("u", "s", "127.0.0.1", upstream.getLocalPort(), "z", 1, false);
  }

  /** Records what arrives through a tunnel. */
  private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
      received.add(message.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        received.add("end");
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      received.add("closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      received.add("error");
    }
  }

  private Mono<TunnelOffer> newOffer(TunnelRequest request) {
    return server.offer(request);
  }
}
