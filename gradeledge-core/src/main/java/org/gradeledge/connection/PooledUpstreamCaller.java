package org.gradeledge.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Keeps connections to upstreams and uses them again, newest first.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.2
 */
public final class PooledUpstreamCaller implements UpstreamCaller {

  private static final int CONNECT_TIMEOUT_MILLIS = 700;
  private static final int MAX_INITIAL_LINE_BYTES = 8 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Bootstrap bootstrap;
  private final ToIntFunction<UpstreamRecord> connectionLimit;
  private final Map<String, UpstreamConnectionPool> poolsByIncarnation = new HashMap<>();
  private final Map<String, Set<UpstreamConnection>> openByIncarnation = new HashMap<>();
  private BiConsumer<UpstreamRecord, ResponseHead> responseListener = (upstream, head) -> {};

  /**
   * Creates a caller without connections.
   *
   * @param connectionLimit most connections that this box may have to an upstream
   */
  public PooledUpstreamCaller(
      EventLoop loop, ToIntFunction<UpstreamRecord> connectionLimit, MonotonicClock clock) {
    this.loop = loop;
    this.clock = clock;
    this.connectionLimit = connectionLimit;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, PooledByteBufAllocator.DEFAULT)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true);
  }

  @Override
  public CancellableCall call(
      UpstreamRecord target, OutgoingRequest request, CallListener listener) {
    CallInProgress call = new CallInProgress(request, listener);
    UpstreamConnectionPool connections =
        poolsByIncarnation.computeIfAbsent(
            target.incarnationId(), start -> new UpstreamConnectionPool());
    UpstreamConnection kept = connections.takeIdle(request.reuse());
    if (kept != null) {
      loop.execute(() -> kept.send(call));
    } else if (!connections.ensureCapacity(connectionLimit.applyAsInt(target))) {
      loop.execute(() -> call.fail(CallFailure.NO_CONNECTION_FREE));
    } else {
      connect(target, connections, call);
    }
    return call;
  }

  @Override
  public void discardConnections(UpstreamRecord target) {
    removePool(target);
  }

  @Override
  public void retire(UpstreamRecord target) {
    removePool(target).ifPresent(connections -> connections.failConnecting(CallFailure.ENDED));
  }

  @Override
  public void backOff(UpstreamRecord target) {
    Optional.ofNullable(poolsByIncarnation.get(target.incarnationId()))
        .ifPresent(connections -> connections.failConnecting(CallFailure.HELD_OFF));
  }

  private Optional<UpstreamConnectionPool> removePool(UpstreamRecord target) {
    Optional<UpstreamConnectionPool> retired =
        Optional.ofNullable(poolsByIncarnation.remove(target.incarnationId()));
    retired.ifPresent(UpstreamConnectionPool::close);
    return retired;
  }

  @Override
  public void abort(UpstreamRecord target) {
    retire(target);
    Set.copyOf(openByIncarnation.getOrDefault(target.incarnationId(), Set.of()))
        .forEach(UpstreamConnection::abort);
  }

  /** Closes all connections on which no call is under way: others may have closed them unheard. */
  public void closeIdle() {
    poolsByIncarnation.values().forEach(UpstreamConnectionPool::closeIdle);
  }

  @Override
  public void probe(UpstreamRecord target, Consumer<LivenessResult> listener) {
    bootstrap
        .clone()
        .handler(new ChannelInboundHandlerAdapter())
        .connect(target.host(), target.port())
        .addListener(
            (ChannelFuture opened) -> {
              opened.channel().close();
              loop.execute(() -> listener.accept(toResult(opened.cause())));
            });
  }

  private static LivenessResult toResult(@Nullable Throwable cause) {
    if (cause == null) {
      return LivenessResult.THERE;
    }
    boolean refused =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    return refused ? LivenessResult.REFUSED : LivenessResult.SILENT;
  }

  /** Tells a listener of the head of each answer to any call. */
  public void onResponse(BiConsumer<UpstreamRecord, ResponseHead> listener) {
    this.responseListener = listener;
  }

  private void connect(
      UpstreamRecord target, UpstreamConnectionPool connections, CallInProgress call) {
    UpstreamConnection connection =
        new UpstreamConnection(connections, head -> responseListener.accept(target, head), clock);
    connections.connectionOpened();
    connections.addConnecting(call);
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(newCodec(), connection);
                  }
                })
            .connect(target.host(), target.port());
    call.onCancel(() -> connecting.channel().close());
    openByIncarnation
        .computeIfAbsent(target.incarnationId(), start -> new HashSet<>())
        .add(connection);
    connecting
        .channel()
        .closeFuture()
        .addListener(
            closed -> {
              connections.connectionClosed(connection);
              forget(target, connection);
            });
    connecting.addListener(
        done -> {
          connections.removeConnecting(call);
          onConnected(done.cause(), connection, call);
        });
  }

  private void forget(UpstreamRecord target, UpstreamConnection connection) {
    openByIncarnation.computeIfPresent(
        target.incarnationId(),
        (start, open) -> {
          open.remove(connection);
          return open.isEmpty() ? null : open;
        });
  }

  private static void onConnected(
      @Nullable Throwable cause, UpstreamConnection connection, CallInProgress call) {
    if (cause == null) {
      connection.send(call);
    } else {
      call.fail(CallFailure.NOT_CONNECTED);
    }
  }

  private static HttpClientCodec newCodec() {
    return new HttpClientCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
  }
}
