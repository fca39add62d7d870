package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gradeledge.connection.ResponseTooLargeException;
import org.gradeledge.connection.UnusableResponseException;
import org.gradeledge.text.HeaderText;

/**
 * Splits a stream of server-sent events into complete events, so that an event that the upstream
 * did not finish is never forwarded. Confined to the event loop.
 */
final class EventFramer {

  private static final int MAX_PENDING_BYTES = 1024 * 1024;
  private static final String ID_FIELD = "id:";

  private final ByteBuf pending = Unpooled.buffer(0);

  /** Number of pending bytes that contain no end of an event. */
  private int searchedBytes;

  private Optional<String> lastId = Optional.empty();

  /**
   * Adds received bytes and returns all events that they complete; the buffer may be empty.
   *
   * @throws UnusableResponseException if one event exceeds the size limit, or has an id that cannot
   *     be sent in a header
   */
  ByteBuf append(ByteBuf bytes) {
    pending.writeBytes(bytes);
    ByteBuf wholeEvents = pending.readBytes(lengthOfWholeEvents());
    pending.discardReadBytes();
    searchedBytes = pending.readableBytes();
    if (searchedBytes > MAX_PENDING_BYTES) {
      wholeEvents.release();
      throw new ResponseTooLargeException("event", MAX_PENDING_BYTES);
    }
    try {
      recordLastId(wholeEvents);
    } catch (UnusableResponseException e) {
      wholeEvents.release();
      throw e;
    }
    return wholeEvents;
  }

  /** Returns the id of the last complete event with one character for each byte, as in a header. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Returns whether no partial event is pending. */
  boolean isAtEventBoundary() {
    return !pending.isReadable();
  }

  /** Discards a partial event. */
  void dropPartial() {
    pending.clear();
    searchedBytes = 0;
  }

  /** Searches from the end, but not again what was searched before. */
  private int lengthOfWholeEvents() {
    for (int i = pending.writerIndex() - 1; i >= Math.max(1, searchedBytes); i--) {
      if (pending.getByte(i) == '\n' && isBlankLineEnd(i)) {
        return i + 1;
      }
    }
    return 0;
  }

  private boolean isBlankLineEnd(int newline) {
    int before = pending.getByte(newline - 1) == '\r' ? newline - 2 : newline - 1;
    return before >= 0 && pending.getByte(before) == '\n';
  }

  private void recordLastId(ByteBuf events) {
    if (!events.isReadable()) {
      return;
    }
    String text = new String(ByteBufUtil.getBytes(events), StandardCharsets.ISO_8859_1);
    int firstField = text.startsWith(ID_FIELD) ? 0 : -1;
    int laterField = text.lastIndexOf('\n' + ID_FIELD);
    int field = laterField >= 0 ? laterField + 1 : firstField;
    if (field >= 0) {
      int end = text.indexOf('\n', field);
      lastId = Optional.of(requireSendable(text.substring(field + ID_FIELD.length(), end).strip()));
    }
  }

  /** An id that no header can carry would keep the stream from being resumed after its event. */
  private static String requireSendable(String id) {
    if (!id.isEmpty() && !HeaderText.isSendable(id)) {
      throw new UnusableResponseException("the id of an event cannot be sent in a header");
    }
    return id;
  }
}
