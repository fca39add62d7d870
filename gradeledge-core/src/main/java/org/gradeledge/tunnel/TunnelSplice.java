package org.gradeledge.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
    box.pipeline().addLast(new BoxHandler(upstream));
    upstream.pipeline().addLast(new UpstreamHandler(box));
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

    BoxHandler(Channel upstream) {
      this.upstream = upstream;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      upstream.writeAndFlush(message).addListener(readNext(context.channel()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug(cause, "Tunnel closed by the other box");
      context.close();
    }
  }

  /** Forwards what the upstream sends, in frames. */
  private static final class UpstreamHandler extends ChannelInboundHandlerAdapter {

    private final Channel box;
    private boolean reset;

    UpstreamHandler(Channel box) {
      this.box = box;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      box.writeAndFlush(TunnelFrames.encode(context, (ByteBuf) message))
          .addListener(readNext(context.channel()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (reset) {
        box.close();
      } else {
        box.writeAndFlush(TunnelFrames.encodeEnd(context)).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug(cause, "Upstream reset the connection of a tunnel");
      reset = true;
      context.close();
    }
  }
}
