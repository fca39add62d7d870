package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reactor.netty.NettyPipeline;

/**
 * Closes a client connection whose responses do not begin with the status line of a response. For
 * clients whose decoder is not ours and reads other texts as a status; it must stand before that
 * decoder. The connection must carry one request at a time, which is written before its response
 * arrives. Confined to the event loop.
 */
public final class StatusLineVerifier extends ChannelDuplexHandler {

  private static final Pattern START = Pattern.compile("HTTP/1\\.[01] ([^ \r\n]*)[ \r\n]");

  /** Longer than the version and a status. */
  private static final int MAX_START_LENGTH = 16;

  private final StringBuilder start = new StringBuilder();
  private boolean responseDue;

  private StatusLineVerifier() {}

  /** Adds a verifier to a connection of a Reactor Netty client. */
  public static void addTo(ChannelPipeline pipeline) {
    pipeline.addBefore(NettyPipeline.HttpCodec, "status-line", new StatusLineVerifier());
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf bytes && bytes.isReadable()) {
      responseDue = true;
      start.setLength(0);
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (responseDue && message instanceof ByteBuf bytes && !verify(bytes)) {
      bytes.release();
      context.close();
      return;
    }
    context.fireChannelRead(message);
  }

  /** Returns whether the bytes may be the start of a response, or the rest of such a start. */
  private boolean verify(ByteBuf bytes) {
    int length = Math.min(bytes.readableBytes(), MAX_START_LENGTH - start.length());
    start.append(bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1));
    Matcher matcher = START.matcher(start);
    if (matcher.lookingAt()) {
      responseDue = false;
      return StatusCode.isValid(matcher.group(1));
    }
    return start.length() < MAX_START_LENGTH;
  }
}
