package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * A connection to an upstream that carries one call at a time.
 *
 * <p>A response to another call is skipped and the connection is not reused; data that arrives
 * while no call is in flight closes it. Confined to the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final long DEFAULT_KEEP_ALIVE_MILLIS = 3_000;
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 700;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_INFORMATIONAL_HEADS = 16;
  private static final long MAX_SKIPPED_BYTES = 16 * 1024 * 1024;

  private final UpstreamConnectionPool pool;
  private final ConnectionObserver observer;
  private final ResponseAnomalyReporter anomalies;
  private @Nullable ChannelHandlerContext context;
  private @Nullable CallInProgress call;
  private @Nullable ChannelFuture writeFuture;
  private boolean skippingResponse;
  private int informationalHeads;
  private long skippedBytes;
  private boolean headReceived;
  private boolean reusable = true;
  private ResponseFraming framing = ResponseFraming.DELIMITED;
  private BooleanSupplier usable = () -> true;
  private long keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS;
  private final MonotonicClock clock;
  private long idleSinceNanos;
  private long sentAtNanos;

  /**
   * Creates a connection that is not open yet.
   *
   * @param number identifies the connection in logs
   */
  UpstreamConnection(
      long number,
      UpstreamConnectionPool owner,
      ConnectionObserver observer,
      MonotonicClock clock) {
    this.pool = owner;
    this.observer = observer;
    this.anomalies = new ResponseAnomalyReporter(number, observer, clock);
    this.clock = clock;
    this.idleSinceNanos = clock.nanos();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    context = handlerContext;
  }

  /** Sends the request of a call. */
  void send(CallInProgress newCall) {
    ChannelHandlerContext channel = Optional.ofNullable(context).orElseThrow();
    if (newCall.isFinished()) {
      finishCall();
      return;
    }
    if (!channel.channel().isActive()) {
      newCall.fail(CallFailure.NOT_CONNECTED);
      return;
    }
    call = newCall;
    headReceived = false;
    informationalHeads = 0;
    skippedBytes = 0;
    reusable &= newCall.request().reuse() != ConnectionReuse.NONE;
    newCall.onCancel(this::close);
    sentAtNanos = clock.nanos();
    anomalies.callSent(newCall);
    writeFuture = channel.writeAndFlush(encode(newCall.request()));
    newCall.notifySent(anomalies.use());
  }

  /** Sets whether new calls may still be sent on this connection. */
  void setUsable(BooleanSupplier supplier) {
    usable = supplier;
  }

  boolean isReusable() {
    return reusable
        && usable.getAsBoolean()
        && context != null
        && context.channel().isActive()
        && idleMillis() < keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS;
  }

  long idleMillis() {
    return (clock.nanos() - idleSinceNanos) / 1_000_000;
  }

  void close() {
    reusable = false;
    if (context != null) {
      context.close();
    }
  }

  /** Closes the connection and fails the call in flight. */
  void abort() {
    fail(CallFailure.BROKEN);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext channel, HttpObject message) {
    CallInProgress current = call;
    if (current == null) {
      anomalies.reportIdleData(message.toString());
      close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      anomalies.reportInvalidResponse(message.decoderResult().cause());
      fail(CallFailure.GARBLED);
      return;
    }
    if (message instanceof HttpResponse response) {
      handleHead(current, response);
    }
    if (message instanceof HttpContent content && headReceived) {
      handleContent(current, content);
    }
  }

  private void handleHead(CallInProgress current, HttpResponse response) {
    if (response.status().code() < MIN_FINAL_STATUS) {
      skippingResponse = true;
      informationalHeads++;
      if (informationalHeads > MAX_INFORMATIONAL_HEADS) {
        fail(CallFailure.GARBLED);
      }
      return;
    }
    headReceived = true;
    skippingResponse = belongsToOtherCall(current, response);
    if (skippingResponse) {
      anomalies.reportOtherResponse(response);
      reusable = false;
      return;
    }
    framing = ResponseFraming.of(response);
    reusable &= HttpUtil.isKeepAlive(response) && framing.allowsReuse();
    keepAliveMillis = KeepAliveHeader.timeoutMillis(response).orElse(keepAliveMillis);
    observer.onHead(new ResponseHead(current.request(), sentAtNanos, response));
    current.notifyHead(response.status().code(), response.headers());
  }

  private void handleContent(CallInProgress current, HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !last;
      headReceived = !last;
      skippedBytes += content.content().readableBytes();
      if (skippedBytes > MAX_SKIPPED_BYTES) {
        fail(CallFailure.GARBLED);
      }
      return;
    }
    if (last && framing == ResponseFraming.CONNECTION && !isOrderlyClose()) {
      fail(CallFailure.BROKEN);
      return;
    }
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      current.notifyContent(bytes);
    }
    if (last) {
      call = null;
      finishCall();
      current.complete();
    }
  }

  /**
   * Returns whether the upstream ended the connection by an orderly close, rather than by a reset,
   * after the whole request was written.
   *
   * <p>The decoder ends a response without a length at any end of the connection. Only an orderly
   * close leaves the channel active, since it allows half-closure.
   */
  private boolean isOrderlyClose() {
    return context != null
        && context.channel().isActive()
        && writeFuture != null
        && writeFuture.isSuccess();
  }

  private static boolean belongsToOtherCall(CallInProgress current, HttpResponse response) {
    return current
        .request()
        .correlationHeader()
        .map(expected -> !expected.value().equals(response.headers().get(expected.header())))
        .orElse(false);
  }

  /** Returns the connection to the pool after all data received with the response is processed. */
  private void finishCall() {
    idleSinceNanos = clock.nanos();
    anomalies.callEnded();
    reusable &= writeFuture == null || writeFuture.isSuccess();
    if (!reusable) {
      close();
      return;
    }
    Optional.ofNullable(context).orElseThrow().executor().execute(this::returnToPool);
  }

  private void returnToPool() {
    if (reusable && call == null) {
      pool.release(this);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext channel, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      fail(CallFailure.BROKEN);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
    fail(CallFailure.BROKEN);
  }

  @Override
  public void channelInactive(ChannelHandlerContext channel) {
    fail(CallFailure.BROKEN);
  }

  private void fail(CallFailure failure) {
    CallInProgress current = call;
    call = null;
    close();
    if (current != null) {
      current.fail(failure);
    }
  }

  private static FullHttpRequest encode(OutgoingRequest request) {
    FullHttpRequest encoded =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            Unpooled.wrappedBuffer(request.body()));
    encoded.headers().set(request.headers());
    if (request.body().length > 0) {
      HttpUtil.setContentLength(encoded, request.body().length);
    }
    return encoded;
  }
}
