package org.gradeledge.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.gradeledge.discovery.UpstreamRecord;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to connect to an upstream: directly first, and also through another box once the
 * direct connection has failed or takes long. The connection that is established first is used. If
 * the direct path failed before, only other boxes are asked, since {@link UpstreamPaths} checks it
 * separately. Confined to the event loop.
 */
final class ConnectionAttempt {

  private final UpstreamRecord target;
  private final EventLoop loop;
  private final DirectDialer dialer;
  private final UpstreamPaths paths;
  private final TunnelConnector tunnels;
  private final UpstreamConnector.Listener listener;
  private @Nullable ChannelFuture direct;
  private @Nullable Future<?> tunnelTimer;
  private PathCheck directResult = PathCheck.SILENT;
  private boolean directPending;
  private boolean tunnelStarted;
  private boolean tunnelPending;
  private boolean finished;

  ConnectionAttempt(
      UpstreamRecord target,
      EventLoop loop,
      DirectDialer dialer,
      UpstreamPaths paths,
      TunnelConnector tunnels,
      UpstreamConnector.Listener listener) {
    this.target = target;
    this.loop = loop;
    this.dialer = dialer;
    this.paths = paths;
    this.tunnels = tunnels;
    this.listener = listener;
  }

  void start() {
    if (paths.isUnreachable(target)) {
      loop.execute(this::fail);
    } else if (paths.hasFailed(target)) {
      loop.execute(this::startTunnel);
    } else {
      connectDirectly();
    }
  }

  /** Ends the attempt; the listener is told that it failed. */
  void cancel() {
    fail();
  }

  private void connectDirectly() {
    directPending = true;
    ChannelFuture connecting = dialer.connect(target, UpstreamConnector.CONNECT_TIMEOUT);
    direct = connecting;
    connecting.addListener(done -> onDirect(connecting.channel(), connecting.cause()));
    tunnelTimer =
        loop.schedule(
            this::startTunnel, UpstreamConnector.TUNNEL_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void onDirect(Channel channel, @Nullable Throwable cause) {
    directPending = false;
    if (cause == null) {
      paths.recordConnected(target);
      succeed(channel, () -> true);
      return;
    }
    if (finished) {
      return;
    }
    directResult = DirectDialer.toResult(cause);
    paths.recordFailed(target, directResult);
    startTunnel();
    failIfNothingPending();
  }

  private void startTunnel() {
    if (finished || tunnelStarted) {
      return;
    }
    tunnelStarted = true;
    tunnelPending = true;
    tunnels.connect(target, this::onTunnel);
  }

  private void onTunnel(TunnelConnector.Result result) {
    tunnelPending = false;
    if (result.tunnel().isPresent()) {
      TunnelConnector.Tunnel tunnel = result.tunnel().get();
      if (!finished) {
        paths.recordReachedBy(tunnel.box(), target, directResult);
      }
      succeed(tunnel.channel(), () -> tunnel.usable().getAsBoolean() && paths.hasFailed(target));
      return;
    }
    if (!directPending) {
      paths.recordUnreachable(target);
    }
    failIfNothingPending();
  }

  private void succeed(Channel channel, BooleanSupplier usable) {
    if (finished) {
      channel.close();
      return;
    }
    finish();
    listener.onConnected(channel, usable);
  }

  private void failIfNothingPending() {
    if (!directPending && !tunnelPending) {
      fail();
    }
  }

  private void fail() {
    if (!finished) {
      finish();
      listener.onFailed();
    }
  }

  private void finish() {
    finished = true;
    if (tunnelTimer != null) {
      tunnelTimer.cancel(false);
    }
    closePendingDirect();
  }

  private void closePendingDirect() {
    if (directPending && direct != null) {
      direct.channel().close();
    }
  }
}
