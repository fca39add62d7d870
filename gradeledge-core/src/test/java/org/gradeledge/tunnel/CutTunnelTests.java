package org.gradeledge.tunnel;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tunnels that end before the box in between has forwarded all that the upstream sent. */
class CutTunnelTests {

  /** A response without a length in two frames, and the end of the upstream's connection. */
  private static final ByteBuf FRAMES =
      Unpooled.wrappedBuffer(
          frame("HTTP/1.1 200 OK\r\nX-Reques"), frame("t-Id: r\r\n\r\nwhole"), frame(""));

  /** How the connection with the box in between ends. */
  private enum End {
    /** By an orderly close, as when the process of the box is killed. */
    CLOSE {
      @Override
      void end(EmbeddedChannel channel) {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      }
    },
    /** By a reset. */
    RESET {
      @Override
      void end(EmbeddedChannel channel) {
        channel.close();
      }
    };

    abstract void end(EmbeddedChannel channel);
  }

  // Guards against an answer without a length that looks whole because its tunnel was cut.
  @ParameterizedTest
  @EnumSource(End.class)
  void endsAsAnErrorAfterEachByteButTheLast(End end) {
    for (int length = 0; length < FRAMES.readableBytes(); length++) {
      assertThat(eventsAfter(length, end)).as("after %d bytes", length).containsExactly("error");
    }
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void endsInOrderAfterTheLastByte(End end) {
    assertThat(eventsAfter(FRAMES.readableBytes(), end)).containsExactly("end");
  }

  private static ByteBuf frame(String text) {
    ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    return Unpooled.wrappedBuffer(Unpooled.buffer().writeInt(bytes.readableBytes()), bytes);
  }

  /** Returns what the user of a tunnel is told of its end after it has received some bytes. */
  private static List<String> eventsAfter(int length, End end) {
    List<String> events = new ArrayList<>();
    EmbeddedChannel channel = new EmbeddedChannel();
    TunnelFrames.addDecoder(channel.pipeline());
    channel.pipeline().addLast(new EndRecorder(events));
    channel.writeInbound(FRAMES.copy(0, length));
    end.end(channel);
    return events;
  }

  /** Records the end of a tunnel. */
  private static final class EndRecorder extends ChannelInboundHandlerAdapter {

    private final List<String> events;

    EndRecorder(List<String> events) {
      this.events = events;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ((ByteBuf) message).release();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        events.add("end");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      events.add("error");
    }
  }
}
