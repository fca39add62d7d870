package org.gradeledge.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;

/**
 * Framing of the bytes that an upstream sends through a tunnel: each frame has its length before
 * it, and an empty frame marks the end of the upstream's connection. Without it the end of the
 * tunnel would look like the end of an answer whose length the upstream did not announce.
 */
final class TunnelFrames {

  static final int LENGTH_BYTES = 4;
  private static final int MAX_FRAME_BYTES = 1024 * 1024;

  private TunnelFrames() {}

  /** Adds the handlers that decode frames to the pipeline of the box that uses the tunnel. */
  static void addDecoder(ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
        new EndHandler());
  }

  /** Encodes bytes of an upstream; takes over the reference to the buffer. */
  static ByteBuf encode(ChannelHandlerContext context, ByteBuf bytes) {
    ByteBuf header = context.alloc().buffer(LENGTH_BYTES).writeInt(bytes.readableBytes());
    return context.alloc().compositeBuffer(2).addComponents(true, header, bytes);
  }

  /** Encodes the end of an upstream's connection. */
  static ByteBuf encodeEnd(ChannelHandlerContext context) {
    return context.alloc().buffer(LENGTH_BYTES).writeInt(0);
  }

  /**
   * Reports the orderly end of the upstream's connection as the end of the tunnel's input, and any
   * other end of the tunnel as an error.
   */
  private static final class EndHandler extends ChannelInboundHandlerAdapter {

    private boolean ended;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf frame = (ByteBuf) message;
      if (frame.isReadable()) {
        context.fireChannelRead(frame);
        return;
      }
      frame.release();
      ended = true;
      context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      context.close();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        context.close();
      } else {
        context.fireUserEventTriggered(event);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!ended) {
        context.fireExceptionCaught(new IOException("the tunnel was interrupted"));
      }
      context.fireChannelInactive();
    }
  }
}
