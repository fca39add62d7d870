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
 * Pools connections to upstreams and reuses the most recently used one first.
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
  private BiConsumer<UpstreamRecord, LivenessResult> connectFailureListener =
      (upstream, result) -> {};

  /**
   * Creates a caller without open connections.
   *
   * @param connectionLimit maximum number of connections of this box to an upstream
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
    UpstreamConnectionPool pool =
        poolsByIncarnation.computeIfAbsent(
            target.incarnationId(), id -> new UpstreamConnectionPool());
    UpstreamConnection idle = pool.takeIdle(request.reuse());
    if (idle != null) {
      loop.execute(() -> idle.send(call));
    } else if (!pool.ensureCapacity(connectionLimit.applyAsInt(target))) {
      loop.execute(() -> call.fail(CallFailure.NO_CONNECTION_FREE));
    } else {
      connect(target, pool, call);
    }
    return call;
  }

  @Override
  public void discardConnections(UpstreamRecord target) {
    removePool(target);
  }

  @Override
  public void retire(UpstreamRecord target) {
    removePool(target).ifPresent(pool -> pool.failConnecting(CallFailure.ENDED));
  }

  @Override
  public void backOff(UpstreamRecord target) {
    Optional.ofNullable(poolsByIncarnation.get(target.incarnationId()))
        .ifPresent(pool -> pool.failConnecting(CallFailure.HELD_OFF));
  }

  private Optional<UpstreamConnectionPool> removePool(UpstreamRecord target) {
    Optional<UpstreamConnectionPool> removed =
        Optional.ofNullable(poolsByIncarnation.remove(target.incarnationId()));
    removed.ifPresent(UpstreamConnectionPool::close);
    return removed;
  }

  @Override
  public void abort(UpstreamRecord target) {
    retire(target);
    Set.copyOf(openByIncarnation.getOrDefault(target.incarnationId(), Set.of()))
        .forEach(UpstreamConnection::abort);
  }

  /**
   * Closes all idle connections; after a suspension the upstreams may have closed them unnoticed.
   */
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

  /** Sets the listener for the response heads of all calls. */
  public void onResponse(BiConsumer<UpstreamRecord, ResponseHead> listener) {
    this.responseListener = listener;
  }

  /** Sets the listener for connections that could not be established. */
  public void onConnectFailure(BiConsumer<UpstreamRecord, LivenessResult> listener) {
    this.connectFailureListener = listener;
  }

  private void connect(UpstreamRecord target, UpstreamConnectionPool pool, CallInProgress call) {
    UpstreamConnection connection =
        new UpstreamConnection(pool, head -> responseListener.accept(target, head), clock);
    pool.connectionOpened();
    pool.addConnecting(call);
    ChannelFuture connectFuture =
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
    call.onCancel(() -> connectFuture.channel().close());
    openByIncarnation
        .computeIfAbsent(target.incarnationId(), id -> new HashSet<>())
        .add(connection);
    connectFuture
        .channel()
        .closeFuture()
        .addListener(
            closed -> {
              pool.connectionClosed(connection);
              removeConnection(target, connection);
            });
    connectFuture.addListener(
        done -> {
          pool.removeConnecting(call);
          if (done.cause() != null && !call.isFinished()) {
            connectFailureListener.accept(target, toResult(done.cause()));
          }
          onConnected(done.cause(), connection, call);
        });
  }

  private void removeConnection(UpstreamRecord target, UpstreamConnection connection) {
    openByIncarnation.computeIfPresent(
        target.incarnationId(),
        (id, open) -> {
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
