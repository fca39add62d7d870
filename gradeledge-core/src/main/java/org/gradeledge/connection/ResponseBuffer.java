package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Buffers the body of a response up to a maximum size. Confined to the event loop.
 *
 * @since 0.2
 */
public final class ResponseBuffer {

  private final int maxBytes;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

  /**
   * Creates an empty buffer.
   *
   * @param maxBytes maximum size of the body
   */
  public ResponseBuffer(int mostBytes) {
    this.maxBytes = mostBytes;
  }

  /**
   * Appends bytes.
   *
   * @throws ResponseTooLargeException if the body would exceed the maximum size
   */
  public void add(ByteBuf content) {
    if (buffer.size() + content.readableBytes() > maxBytes) {
      throw new ResponseTooLargeException("body", maxBytes);
    }
    byte[] bytes = new byte[content.readableBytes()];
    content.readBytes(bytes);
    buffer.writeBytes(bytes);
  }

  /** Returns the buffered bytes. */
  public byte[] toByteArray() {
    return buffer.toByteArray();
  }
}
