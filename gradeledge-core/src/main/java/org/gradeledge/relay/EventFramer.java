package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events into whole events, so that an event that an upstream broke
 * off is never passed on in part. Confined to the event loop.
 */
final class EventFramer {

  private static final int MAX_PENDING_BYTES = 1024 * 1024;
  private static final String ID_FIELD = "id:";

  private ByteBuf pending = Unpooled.EMPTY_BUFFER;
  private Optional<String> lastId = Optional.empty();

  /**
   * Takes bytes in and returns all whole events that they complete; empty where there are none.
   *
   * @throws IllegalStateException if one event grows without end
   */
  ByteBuf append(ByteBuf bytes) {
    ByteBuf all = pending.isReadable() ? Unpooled.copiedBuffer(pending, bytes) : bytes.copy();
    int end = lengthOfWholeEvents(all);
    ByteBuf whole = all.readRetainedSlice(end);
    pending = all.isReadable() ? Unpooled.copiedBuffer(all) : Unpooled.EMPTY_BUFFER;
    all.release();
    if (pending.readableBytes() > MAX_PENDING_BYTES) {
      throw new IllegalStateException("an event has no end after " + pending.readableBytes());
    }
    recordLastId(whole);
    return whole;
  }

  /** Returns the id of the last whole event. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Returns whether the stream stands between two events. */
  boolean isAtEventBoundary() {
    return !pending.isReadable();
  }

  /** Drops an event that was broken off. */
  void dropPartial() {
    pending = Unpooled.EMPTY_BUFFER;
  }

  private static int lengthOfWholeEvents(ByteBuf bytes) {
    int from = bytes.readerIndex();
    for (int i = bytes.writerIndex() - 1; i > from; i--) {
      if (bytes.getByte(i) == '\n' && isBlankLineEnd(bytes, i, from)) {
        return i + 1 - from;
      }
    }
    return 0;
  }

  private static boolean isBlankLineEnd(ByteBuf bytes, int newline, int from) {
    int before = bytes.getByte(newline - 1) == '\r' ? newline - 2 : newline - 1;
    return before >= from && bytes.getByte(before) == '\n';
  }

  private void recordLastId(ByteBuf events) {
    if (!events.isReadable()) {
      return;
    }
    String text = new String(ByteBufUtil.getBytes(events), StandardCharsets.UTF_8);
    int at = text.startsWith(ID_FIELD) ? 0 : -1;
    int last = text.lastIndexOf('\n' + ID_FIELD);
    int field = last >= 0 ? last + 1 : at;
    if (field >= 0) {
      int end = text.indexOf('\n', field);
      lastId = Optional.of(text.substring(field + ID_FIELD.length(), end).trim());
    }
  }
}
