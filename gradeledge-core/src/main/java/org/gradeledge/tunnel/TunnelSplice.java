package org.gradeledge.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Forwards bytes between the two channels of a tunnel. Reads from a channel only once the previous
 * bytes were written to the other, so that a slow receiver holds up the sender. Confined to the
 * event loop.
 */
final class TunnelSplice {

  private TunnelSplice() {}

  /** Starts to forward between the channel of another box and that of an upstream. */
  static void join(Channel box, Channel upstream) {
    BoxHandler boxHandler = new BoxHandler(upstream);
    box.pipeline().addLast(boxHandler);
    upstream.pipeline().addLast(new UpstreamHandler(box, boxHandler));
    box.closeFuture().addListener(closed -> upstream.close());
    if (!box.isActive()) {
      upstream.close();
      return;
    }
    box.read();
    upstream.read();
  }

  private static ChannelFutureListener readNext(Channel source) {
    return (ChannelFuture written) -> {
      if (written.isSuccess()) {
        source.read();
      } else {
        source.close();
      }
    };
  }

  /** Forwards what the other box sends, unchanged. */
  private static final class BoxHandler extends ChannelInboundHandlerAdapter {

    private final Channel upstream;
    private @Nullable ChannelFuture lastWrite;

    BoxHandler(Channel upstream) {
      this.upstream = upstream;
    }

    /** Returns whether all data received so far was written to the upstream. */
    boolean isWritten() {
      return lastWrite == null || lastWrite.isSuccess();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      lastWrite = upstream.writeAndFlush(message).addListener(readNext(context.channel()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug(cause, "Tunnel closed by the other box");
      context.close();
    }
  }

  /**
   * Forwards what the upstream sends, in frames. The end of its connection is forwarded only if it
   * was orderly and no data was left to be written to it.
   */
  private static final class UpstreamHandler extends ChannelInboundHandlerAdapter {

    private final Channel box;
    private final BoxHandler boxHandler;
    private boolean ended;

    UpstreamHandler(Channel box, BoxHandler boxHandler) {
      this.box = box;
      this.boxHandler = boxHandler;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      box.writeAndFlush(TunnelFrames.encode(context, (ByteBuf) message))
          .addListener(readNext(context.channel()));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (!(event instanceof ChannelInputShutdownEvent)) {
        return;
      }
      if (boxHandler.isWritten()) {
        ended = true;
        box.writeAndFlush(TunnelFrames.encodeEnd(context)).addListener(ChannelFutureListener.CLOSE);
      }
      context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!ended) {
        box.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug(cause, "Upstream reset the connection of a tunnel");
      context.close();
    }
  }
}
