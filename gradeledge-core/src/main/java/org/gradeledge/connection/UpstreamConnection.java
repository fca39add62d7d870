package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * One connection to an upstream, which carries one call at a time.
 *
 * <p>An answer with another call's id is passed over and the connection is not used again; bytes
 * that arrive while no call is under way close it. Confined to the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final Pattern KEPT_SECONDS = Pattern.compile("timeout=(\\d+)");
  private static final long DEFAULT_KEPT_MILLIS = 3_000;
  private static final long CLOSING_MARGIN_MILLIS = 700;
  private static final int INFORMATIONAL_END = 200;

  private final UpstreamConnections owner;
  private final Consumer<AnswerHead> onHead;
  private @Nullable ChannelHandlerContext context;
  private @Nullable CallInProgress call;
  private @Nullable ChannelFuture written;
  private boolean passingOver;
  private boolean headSeen;
  private boolean reusable = true;
  private boolean reset;
  private long keptMillis = DEFAULT_KEPT_MILLIS;
  private final MonotonicClock clock;
  private long restingSince;
  private long sentNanos;

  /**
   * Creates a connection that is not open yet.
   *
   * @param onHead hears of the head of each answer, also where its call was given up
   */
  UpstreamConnection(UpstreamConnections owner, Consumer<AnswerHead> onHead, MonotonicClock clock) {
    this.owner = owner;
    this.onHead = onHead;
    this.clock = clock;
    this.restingSince = clock.nanos();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  /** Sends the request of a call. */
  void start(CallInProgress next) {
    ChannelHandlerContext channel = Optional.ofNullable(context).orElseThrow();
    if (next.isOver()) {
      finish();
      return;
    }
    if (!channel.channel().isActive()) {
      next.fail(CallFailure.NOT_CONNECTED);
      return;
    }
    call = next;
    headSeen = false;
    reusable &= next.request().reuse() != ConnectionReuse.NONE;
    next.onCancel(this::close);
    sentNanos = clock.nanos();
    written = channel.writeAndFlush(encode(next.request()));
    next.sent();
  }

  boolean usable() {
    return reusable
        && context != null
        && context.channel().isActive()
        && idleMillis() < keptMillis - CLOSING_MARGIN_MILLIS;
  }

  long idleMillis() {
    return (clock.nanos() - restingSince) / 1_000_000;
  }

  void close() {
    reusable = false;
    if (context != null) {
      context.close();
    }
  }

  /** Closes the connection; a call under way on it has no answer to wait for. */
  void breakOff() {
    fail(CallFailure.BROKEN);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext channel, HttpObject message) {
    CallInProgress current = call;
    if (current == null) {
      close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      fail(CallFailure.GARBLED);
      return;
    }
    if (message instanceof HttpResponse response) {
      head(current, response);
    }
    if (message instanceof HttpContent content && headSeen) {
      body(current, content);
    }
  }

  private void head(CallInProgress current, HttpResponse response) {
    if (response.status().code() < INFORMATIONAL_END) {
      passingOver = true;
      return;
    }
    headSeen = true;
    passingOver = isOthersAnswer(current, response);
    if (passingOver) {
      reusable = false;
      return;
    }
    reusable &= HttpUtil.isKeepAlive(response) && isFramed(response);
    noteKeptTime(response.headers().get(KEEP_ALIVE));
    onHead.accept(new AnswerHead(current.request(), sentNanos, response));
    current.head(response.status().code(), response.headers());
  }

  private void body(CallInProgress current, HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (passingOver) {
      passingOver = !last;
      headSeen = !last;
      return;
    }
    if (reset && last) {
      // Netty ends an answer without length also when the connection is reset.
      fail(CallFailure.BROKEN);
      return;
    }
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      current.content(bytes);
    }
    if (last) {
      call = null;
      finish();
      current.complete();
    }
  }

  private static boolean isOthersAnswer(CallInProgress current, HttpResponse response) {
    return current
        .request()
        .answerId()
        .map(own -> !own.value().equals(response.headers().get(own.header())))
        .orElse(false);
  }

  private static boolean isFramed(HttpResponse response) {
    return HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
  }

  private void noteKeptTime(@Nullable String keepAlive) {
    if (keepAlive != null) {
      Matcher seconds = KEPT_SECONDS.matcher(keepAlive);
      if (seconds.find()) {
        keptMillis = Long.parseLong(seconds.group(1)) * 1_000;
      }
    }
  }

  /** Keeps the connection once all bytes that came together with the answer have been looked at. */
  private void finish() {
    restingSince = clock.nanos();
    reusable &= written == null || written.isSuccess();
    if (!reusable) {
      close();
      return;
    }
    Optional.ofNullable(context).orElseThrow().executor().execute(this::keep);
  }

  private void keep() {
    if (reusable && call == null) {
      owner.keep(this);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
    reset = true;
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
