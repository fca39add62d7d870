package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * A connection to an upstream that carries one call at a time.
 *
 * <p>A response is given to a call only if nothing else on the connection can have produced it: a
 * response to another call is skipped and the connection is not reused, data that arrives while no
 * call is in flight closes it, and it carries each id once. Confined to the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject>
    implements CallResponseDecoder.Calls {

  private static final long DEFAULT_KEEP_ALIVE_MILLIS = 3_000;
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 700;

  private final UpstreamConnectionPool pool;
  private final ConnectionObserver observer;
  private final ResponseAnomalyReporter anomalies;
  private final CarriedCalls carriedCalls = new CarriedCalls();
  private final CallResponseDecoder decoder = new CallResponseDecoder(this);
  private @Nullable ChannelHandlerContext context;
  private @Nullable CallInProgress call;
  private @Nullable ChannelFuture writeFuture;
  private @Nullable ResponseSelector selector;
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

  /** Adds this connection to the pipeline of an open channel. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(new ByteRequestEncoder(), decoder, this);
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
    carriedCalls.add(newCall.request());
    selector = new ResponseSelector(newCall.request(), carriedCalls, decoder::undecoded, anomalies);
    reusable &= carriedCalls.allowsAnother();
    newCall.onCancel(this::close);
    sentAtNanos = clock.nanos();
    anomalies.callSent(newCall);
    writeFuture = channel.writeAndFlush(newCall.request().encode());
    newCall.notifySent(anomalies.use());
  }

  boolean isOpen() {
    return reusable && context != null && context.channel().isActive();
  }

  /** Sets whether new calls may still be sent on this connection. */
  void setUsable(BooleanSupplier supplier) {
    usable = supplier;
  }

  boolean isReusable() {
    return isOpen()
        && usable.getAsBoolean()
        && idleMillis() < keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS;
  }

  /** Returns whether an earlier call on this connection had the same id. */
  boolean hasCarried(OutgoingRequest request) {
    return carriedCalls.contains(request);
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
  public Optional<OutgoingRequest> requestInFlight() {
    return Optional.ofNullable(call).map(CallInProgress::request);
  }

  @Override
  public void onIdleData(ByteBuf data) {
    if (context != null && context.channel().isActive()) {
      anomalies.reportIdleData(data.toString(StandardCharsets.US_ASCII));
    }
    close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext channel, HttpObject message) {
    CallInProgress current = call;
    ResponseSelector responses = selector;
    if (current == null || responses == null) {
      close();
      return;
    }
    try {
      handle(current, responses, message);
    } catch (InvalidResponseException e) {
      anomalies.reportInvalidResponse(e.getMessage());
      fail(CallFailure.GARBLED);
    }
  }

  private void handle(CallInProgress current, ResponseSelector responses, HttpObject message)
      throws InvalidResponseException {
    if (message.decoderResult().isFailure()) {
      throw new InvalidResponseException(message.decoderResult().cause().toString());
    }
    if (message instanceof HttpResponse response) {
      if (responses.selects(response)) {
        handleHead(current, response);
      } else {
        reusable &= !responses.isSkippingResponse();
      }
    }
    if (message instanceof HttpContent content && responses.selects(content)) {
      handleContent(current, content);
    }
  }

  private void handleHead(CallInProgress current, HttpResponse response) {
    framing = ResponseFraming.of(response);
    reusable &= HttpUtil.isKeepAlive(response) && framing.allowsReuse();
    keepAliveMillis = KeepAliveHeader.timeoutMillis(response).orElse(keepAliveMillis);
    observer.onHead(new ResponseHead(current.request(), sentAtNanos, response));
    current.notifyHead(response.status().code(), response.headers());
  }

  private void handleContent(CallInProgress current, HttpContent content) {
    boolean last = content instanceof LastHttpContent;
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
}
