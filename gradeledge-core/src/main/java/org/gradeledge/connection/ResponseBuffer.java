package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Gathers the body of an answer up to a bound. Confined to the event loop.
 *
 * @since 0.2
 */
public final class ResponseBuffer {

  private final int maxBytes;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

  /**
   * Creates an empty body.
   *
   * @param mostBytes most bytes that it may have
   */
  public ResponseBuffer(int mostBytes) {
    this.maxBytes = mostBytes;
  }

  /** Adds bytes, unless the body would pass its bound; returns whether they were added. */
  public boolean add(ByteBuf content) {
    if (buffer.size() + content.readableBytes() > maxBytes) {
      return false;
    }
    byte[] bytes = new byte[content.readableBytes()];
    content.readBytes(bytes);
    buffer.writeBytes(bytes);
    return true;
  }

  /** Returns what was gathered. */
  public byte[] toByteArray() {
    return buffer.toByteArray();
  }
}
