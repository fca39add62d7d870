package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The bytes of an answer that were read and not handed on yet. Of a stream of events, what comes
 * within a short while after an event is read and handed on in one go: a box otherwise wakes up for
 * each event, which is most of what it does where answers have a hundred of them. The first event
 * never waits.
 *
 * <p>Confined to the event loop.
 */
final class GatheredEvents {

  private final Duration pause;
  private @Nullable ByteBuf waiting;
  private boolean stream;

  /**
   * Creates it empty.
   *
   * @param pause how long an event may wait for those after it; zero for not at all
   */
  GatheredEvents(Duration pause) {
    this.pause = pause;
  }

  /** Starts an answer. */
  void begin(boolean eventStream) {
    stream = eventStream;
  }

  /** Takes in bytes that were read; they stay the giver's to release. */
  void add(ByteBuf bytes) {
    ByteBuf before = waiting;
    waiting = before == null ? bytes.retain() : Unpooled.wrappedBuffer(before, bytes.retain());
  }

  /** Hands on what was read; returns whether there was anything. */
  boolean handOn(CallInProgress call) {
    ByteBuf bytes = waiting;
    waiting = null;
    if (bytes == null) {
      return false;
    }
    try {
      call.content(bytes);
    } finally {
      bytes.release();
    }
    return true;
  }

  /** Stops reading for a while if the answer is a stream of events. */
  void pauseReading(Channel channel) {
    if (stream && !pause.isZero()) {
      channel.config().setAutoRead(false);
      channel
          .eventLoop()
          .schedule(
              () -> channel.config().setAutoRead(true), pause.toMillis(), TimeUnit.MILLISECONDS);
    }
  }
}
