package org.gradeledge.tunnel;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.FixedLengthFrameDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.gradeledge.connection.DirectDialer;
import org.gradeledge.connection.PathCheck;
import org.gradeledge.connection.UpstreamPaths;
import org.gradeledge.discovery.UpstreamRecord;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Connects other boxes to upstreams. A box first asks for a connection over the authenticated
 * connection between boxes; the answer has a ticket, with which it then opens the tunnel. Confined
 * to the event loop.
 *
 * @since 0.3
 */
public final class TunnelServer {

  /** Shorter than the time after which the asking box gives up. */
  static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  static final int TICKET_LENGTH = 32;

  /** Time in which a tunnel must be opened after it was offered. */
  private static final Duration OFFER_LIFETIME = Duration.ofSeconds(1);

  /** Bounds the memory and descriptors that other boxes use up here. */
  private static final int MAX_TUNNELS = 512;

  private static final int BACKLOG = 256;

  private final EventLoop loop;
  private final DirectDialer dialer;
  private final UpstreamPaths paths;
  private final Function<String, Optional<UpstreamRecord>> upstreams;
  private final SecureRandom random = new SecureRandom();
  private final Map<String, Channel> offered = new HashMap<>();
  private int openCount;
  private int port;
  private boolean stopping;

  /**
   * Creates a server that does not listen yet.
   *
   * @param upstreams returns the upstream with an incarnation id, if it is known
   */
  public TunnelServer(
      EventLoop loop,
      DirectDialer dialer,
      UpstreamPaths paths,
      Function<String, Optional<UpstreamRecord>> upstreams) {
    this.loop = loop;
    this.dialer = dialer;
    this.paths = paths;
    this.upstreams = upstreams;
  }

  /** Starts to listen for tunnels. */
  public Mono<Void> listen(InetSocketAddress address) {
    return Mono.create(
        sink ->
            new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(
                    new ChannelInitializer<Channel>() {
                      @Override
                      protected void initChannel(Channel channel) {
                        accept(channel);
                      }
                    })
                .bind(address)
                .addListener(
                    (ChannelFuture bound) -> {
                      if (bound.isSuccess()) {
                        port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
                        sink.success();
                      } else {
                        sink.error(bound.cause());
                      }
                    }));
  }

  /** Offers no more tunnels. */
  public void stop() {
    stopping = true;
  }

  /** Returns the number of open tunnels. */
  public int openCount() {
    return openCount;
  }

  /** Connects to an upstream for another box. */
  public Mono<TunnelOffer> offer(TunnelRequest request) {
    Optional<UpstreamRecord> target =
        upstreams.apply(request.incarnationId()).filter(upstream -> !paths.isLost(upstream));
    if (target.isEmpty() || stopping || openCount + offered.size() >= MAX_TUNNELS) {
      return Mono.just(TunnelOffer.without(PathCheck.UNAVAILABLE));
    }
    Sinks.One<TunnelOffer> offer = Sinks.one();
    dialer
        .connect(target.get(), CONNECT_TIMEOUT)
        .addListener(
            (ChannelFuture opened) ->
                offer.tryEmitValue(onConnected(request, opened.channel(), opened.cause())));
    return offer.asMono();
  }

  private TunnelOffer onConnected(
      TunnelRequest request, Channel upstream, @Nullable Throwable cause) {
    PathCheck check = DirectDialer.toResult(cause);
    if (check != PathCheck.REACHED || !request.keep()) {
      upstream.close();
      return TunnelOffer.without(check);
    }
    byte[] bytes = new byte[TICKET_LENGTH / 2];
    random.nextBytes(bytes);
    String ticket = HexFormat.of().formatHex(bytes);
    offered.put(ticket, upstream);
    loop.schedule(() -> expire(ticket), OFFER_LIFETIME.toMillis(), TimeUnit.MILLISECONDS);
    return new TunnelOffer(check, port, ticket);
  }

  private void expire(String ticket) {
    Optional.ofNullable(offered.remove(ticket)).ifPresent(Channel::close);
  }

  private void accept(Channel box) {
    box.pipeline().addLast(new FixedLengthFrameDecoder(TICKET_LENGTH), new TicketHandler());
    loop.schedule(() -> closeWithoutTicket(box), OFFER_LIFETIME.toMillis(), TimeUnit.MILLISECONDS);
    box.read();
  }

  private static void closeWithoutTicket(Channel box) {
    if (box.pipeline().get(TicketHandler.class) != null) {
      box.close();
    }
  }

  /** Reads the ticket of a tunnel and then connects the two channels. */
  private final class TicketHandler extends SimpleChannelInboundHandler<ByteBuf> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
      Channel box = context.channel();
      Channel upstream = offered.remove(message.toString(StandardCharsets.US_ASCII));
      if (upstream == null) {
        context.close();
        return;
      }
      openCount++;
      box.closeFuture().addListener(closed -> openCount--);
      TunnelSplice.join(box, upstream);
      box.pipeline().remove(this);
      box.pipeline().remove(FixedLengthFrameDecoder.class);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      context.read();
    }
  }
}
