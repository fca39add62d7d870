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

  private static final int CONNECT_MILLIS = 700;
  private static final int LINE_BYTES = 8 * 1024;
  private static final int HEADER_BYTES = 64 * 1024;
  private static final int CHUNK_BYTES = 64 * 1024;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Bootstrap bootstrap;
  private final ToIntFunction<UpstreamRecord> connectionLimit;
  private final Map<String, UpstreamConnections> byUpstream = new HashMap<>();
  private final Map<String, Set<UpstreamConnection>> openByStart = new HashMap<>();
  private BiConsumer<UpstreamRecord, AnswerHead> answers = (upstream, head) -> {};

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
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true);
  }

  @Override
  public UpstreamCall call(UpstreamRecord target, OutgoingRequest request, CallListener listener) {
    CallInProgress call = new CallInProgress(request, listener);
    UpstreamConnections connections =
        byUpstream.computeIfAbsent(target.start(), start -> new UpstreamConnections());
    UpstreamConnection kept = connections.takeKept(request.reuse());
    if (kept != null) {
      loop.execute(() -> kept.start(call));
    } else if (!connections.makeRoom(connectionLimit.applyAsInt(target))) {
      loop.execute(() -> call.fail(CallFailure.NO_CONNECTION_FREE));
    } else {
      connect(target, connections, call);
    }
    return call;
  }

  @Override
  public void forget(UpstreamRecord target) {
    retire(target);
  }

  @Override
  public void end(UpstreamRecord target) {
    retire(target).ifPresent(connections -> connections.failDialling(CallFailure.ENDED));
  }

  @Override
  public void holdOff(UpstreamRecord target) {
    Optional.ofNullable(byUpstream.get(target.start()))
        .ifPresent(connections -> connections.failDialling(CallFailure.HELD_OFF));
  }

  private Optional<UpstreamConnections> retire(UpstreamRecord target) {
    Optional<UpstreamConnections> retired = Optional.ofNullable(byUpstream.remove(target.start()));
    retired.ifPresent(UpstreamConnections::closeKept);
    return retired;
  }

  @Override
  public void breakOff(UpstreamRecord target) {
    end(target);
    Set.copyOf(openByStart.getOrDefault(target.start(), Set.of()))
        .forEach(UpstreamConnection::breakOff);
  }

  /** Closes all connections on which no call is under way: others may have closed them unheard. */
  public void closeResting() {
    byUpstream.values().forEach(UpstreamConnections::closeResting);
  }

  @Override
  public void probe(UpstreamRecord target, Consumer<UpstreamProof> listener) {
    bootstrap
        .clone()
        .handler(new ChannelInboundHandlerAdapter())
        .connect(target.host(), target.port())
        .addListener(
            (ChannelFuture opened) -> {
              opened.channel().close();
              loop.execute(() -> listener.accept(proof(opened.cause())));
            });
  }

  private static UpstreamProof proof(@Nullable Throwable cause) {
    if (cause == null) {
      return UpstreamProof.THERE;
    }
    boolean refused =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    return refused ? UpstreamProof.REFUSED : UpstreamProof.SILENT;
  }

  /** Tells a listener of the head of each answer to any call. */
  public void onAnswer(BiConsumer<UpstreamRecord, AnswerHead> listener) {
    this.answers = listener;
  }

  private void connect(
      UpstreamRecord target, UpstreamConnections connections, CallInProgress call) {
    UpstreamConnection connection =
        new UpstreamConnection(connections, head -> answers.accept(target, head), clock);
    connections.opened();
    connections.dialling(call);
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
    openByStart.computeIfAbsent(target.start(), start -> new HashSet<>()).add(connection);
    connecting
        .channel()
        .closeFuture()
        .addListener(
            closed -> {
              connections.closed(connection);
              forget(target, connection);
            });
    connecting.addListener(
        done -> {
          connections.dialled(call);
          connected(done.cause(), connection, call);
        });
  }

  private void forget(UpstreamRecord target, UpstreamConnection connection) {
    openByStart.computeIfPresent(
        target.start(),
        (start, open) -> {
          open.remove(connection);
          return open.isEmpty() ? null : open;
        });
  }

  private static void connected(
      @Nullable Throwable cause, UpstreamConnection connection, CallInProgress call) {
    if (cause == null) {
      connection.start(call);
    } else {
      call.fail(CallFailure.NOT_CONNECTED);
    }
  }

  private static HttpClientCodec newCodec() {
    return new HttpClientCodec(LINE_BYTES, HEADER_BYTES, CHUNK_BYTES);
  }
}
