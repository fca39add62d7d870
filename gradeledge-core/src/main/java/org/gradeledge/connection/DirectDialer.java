package org.gradeledge.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.time.Duration;
import java.util.function.Consumer;
import org.gradeledge.discovery.UpstreamRecord;
import org.jspecify.annotations.Nullable;

/**
 * Opens TCP connections to upstreams. Its channels do not read automatically, so that handlers can
 * be added first, and allow half-closure: an orderly close of the peer is a {@code
 * ChannelInputShutdownEvent}, after which a handler must close the channel; a reset is not.
 * Confined to the event loop.
 *
 * @since 0.3
 */
public final class DirectDialer {

  private final EventLoop loop;
  private final Bootstrap bootstrap;

  /** Creates a dialer on an event loop. */
  public DirectDialer(EventLoop loop) {
    this.loop = loop;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, PooledByteBufAllocator.DEFAULT)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(new WithoutHandlers());
  }

  /** Starts to connect to an upstream. */
  public ChannelFuture connect(UpstreamRecord target, Duration timeout) {
    return connect(target.host(), target.port(), timeout);
  }

  /** Starts to connect to an address. */
  public ChannelFuture connect(String host, int port, Duration timeout) {
    return bootstrap
        .clone()
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
        .connect(host, port);
  }

  /**
   * Connects to an upstream and closes the connection at once. The listener is called on the event
   * loop, never before this method returns.
   */
  public void check(UpstreamRecord target, Duration timeout, Consumer<PathCheck> listener) {
    connect(target, timeout)
        .addListener(
            (ChannelFuture opened) -> {
              opened.channel().close();
              loop.execute(() -> listener.accept(toResult(opened.cause())));
            });
  }

  /** Returns the result of an attempt that failed with a cause, or succeeded if it is null. */
  public static PathCheck toResult(@Nullable Throwable cause) {
    if (cause == null) {
      return PathCheck.REACHED;
    }
    boolean refused =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    return refused ? PathCheck.REFUSED : PathCheck.SILENT;
  }

  /** Leaves the pipeline empty; a bootstrap requires a handler that can be shared. */
  private static final class WithoutHandlers extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel channel) {
      // handlers are added once the connection is established
    }
  }
}
