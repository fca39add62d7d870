package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events, so that an event that the upstream
 * did not finish is never forwarded. Confined to the event loop.
 */
final class EventFramer {

  private static final int MAX_PENDING_BYTES = 1024 * 1024;
  private static final String ID_FIELD = "id:";

  private ByteBuf pending = Unpooled.EMPTY_BUFFER;
  private Optional<String> lastId = Optional.empty();

  /**
   * Adds received bytes and returns all events that they complete; the buffer may be empty.
   *
   * @throws IllegalStateException if one event exceeds the size limit
   */
  ByteBuf append(ByteBuf bytes) {
    ByteBuf buffered = pending.isReadable() ? Unpooled.copiedBuffer(pending, bytes) : bytes.copy();
    int wholeLength = lengthOfWholeEvents(buffered);
    ByteBuf wholeEvents = buffered.readRetainedSlice(wholeLength);
    pending = buffered.isReadable() ? Unpooled.copiedBuffer(buffered) : Unpooled.EMPTY_BUFFER;
    buffered.release();
    if (pending.readableBytes() > MAX_PENDING_BYTES) {
      throw new IllegalStateException(
          "event exceeds the size limit, bytes pending: " + pending.readableBytes());
    }
    recordLastId(wholeEvents);
    return wholeEvents;
  }

  /** Returns the id of the last complete event. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Returns whether no partial event is pending. */
  boolean isAtEventBoundary() {
    return !pending.isReadable();
  }

  /** Discards a partial event. */
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
    int firstField = text.startsWith(ID_FIELD) ? 0 : -1;
    int laterField = text.lastIndexOf('\n' + ID_FIELD);
    int field = laterField >= 0 ? laterField + 1 : firstField;
    if (field >= 0) {
      int end = text.indexOf('\n', field);
      lastId = Optional.of(text.substring(field + ID_FIELD.length(), end).trim());
    }
  }
}
