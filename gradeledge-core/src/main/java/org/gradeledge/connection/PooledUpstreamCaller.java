package org.gradeledge.connection;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.time.MonotonicClock;

/**
 * Pools connections to upstreams and reuses the most recently used one first.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.2
 */
public final class PooledUpstreamCaller implements UpstreamCaller {

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final UpstreamConnector connector;
  private final ToIntFunction<UpstreamRecord> connectionLimit;
  private final Map<String, UpstreamConnectionPool> poolsByIncarnation = new HashMap<>();
  private final Map<String, Set<UpstreamConnection>> openByIncarnation = new HashMap<>();
  private BiConsumer<UpstreamRecord, ResponseHead> responseListener = (upstream, head) -> {};
  private BiConsumer<UpstreamRecord, ResponseAnomaly> anomalyListener = (upstream, anomaly) -> {};
  private long openedConnections;

  /**
   * Creates a caller without open connections.
   *
   * @param connector connects to upstreams
   * @param connectionLimit maximum number of connections of this box to an upstream
   */
  public PooledUpstreamCaller(
      EventLoop loop,
      UpstreamConnector connector,
      ToIntFunction<UpstreamRecord> connectionLimit,
      MonotonicClock clock) {
    this.loop = loop;
    this.connector = connector;
    this.connectionLimit = connectionLimit;
    this.clock = clock;
  }

  @Override
  public CancellableCall call(
      UpstreamRecord target, OutgoingRequest request, CallListener listener) {
    CallInProgress call = new CallInProgress(request, listener);
    start(target, call);
    return call;
  }

  private void start(UpstreamRecord target, CallInProgress call) {
    UpstreamConnectionPool pool =
        poolsByIncarnation.computeIfAbsent(
            target.incarnationId(), id -> new UpstreamConnectionPool());
    UpstreamConnection idle = pool.takeIdle(call.request());
    if (idle != null) {
      loop.execute(() -> sendOnIdle(idle, pool, target, call));
    } else if (!pool.ensureCapacity(connectionLimit.applyAsInt(target))) {
      loop.execute(() -> call.fail(CallFailure.NO_CONNECTION_FREE));
    } else {
      connect(target, pool, call);
    }
  }

  /** Sends a call, on another connection if the idle one has been closed since it was chosen. */
  private void sendOnIdle(
      UpstreamConnection idle,
      UpstreamConnectionPool pool,
      UpstreamRecord target,
      CallInProgress call) {
    boolean poolDiscarded = poolsByIncarnation.get(target.incarnationId()) != pool;
    if (idle.isOpen() || call.isFinished() || poolDiscarded) {
      idle.send(call);
    } else {
      start(target, call);
    }
  }

  @Override
  public void discardConnections(UpstreamRecord target) {
    removePool(target);
  }

  @Override
  public void retire(UpstreamRecord target) {
    connector.remove(target);
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
    connector.check(target, result -> listener.accept(LivenessResult.of(result)));
  }

  /** Sets the listener for the response heads of all calls. */
  public void onResponse(BiConsumer<UpstreamRecord, ResponseHead> listener) {
    this.responseListener = listener;
  }

  /** Sets the listener for data that is not the response to a call. */
  public void onAnomaly(BiConsumer<UpstreamRecord, ResponseAnomaly> listener) {
    this.anomalyListener = listener;
  }

  private ConnectionObserver observer(UpstreamRecord target) {
    return new ConnectionObserver() {
      @Override
      public void onHead(ResponseHead head) {
        responseListener.accept(target, head);
      }

      @Override
      public void onAnomaly(ResponseAnomaly anomaly) {
        anomalyListener.accept(target, anomaly);
      }
    };
  }

  private void connect(UpstreamRecord target, UpstreamConnectionPool pool, CallInProgress call) {
    UpstreamConnection connection =
        new UpstreamConnection(++openedConnections, pool, observer(target), clock);
    pool.connectionOpened();
    pool.addConnecting(call);
    openByIncarnation
        .computeIfAbsent(target.incarnationId(), id -> new HashSet<>())
        .add(connection);
    ConnectionAttempt attempt =
        connector.connect(
            target,
            new UpstreamConnector.Listener() {
              @Override
              public void onConnected(Channel channel, BooleanSupplier usable) {
                pool.removeConnecting(call);
                channel.closeFuture().addListener(closed -> onClosed(target, pool, connection));
                connection.addTo(channel.pipeline());
                connection.setUsable(usable);
                connection.send(call);
                channel.config().setAutoRead(true);
              }

              @Override
              public void onFailed() {
                pool.removeConnecting(call);
                onClosed(target, pool, connection);
                call.fail(CallFailure.NOT_CONNECTED);
              }
            });
    call.onCancel(attempt::cancel);
  }

  private void onClosed(
      UpstreamRecord target, UpstreamConnectionPool pool, UpstreamConnection connection) {
    pool.connectionClosed(connection);
    openByIncarnation.computeIfPresent(
        target.incarnationId(),
        (id, open) -> {
          open.remove(connection);
          return open.isEmpty() ? null : open;
        });
  }
}
