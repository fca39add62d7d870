package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Gathers the body of an answer up to a bound. Confined to the event loop.
 *
 * @since 0.2
 */
public final class AnswerBody {

  private final int mostBytes;
  private final ByteArrayOutputStream gathered = new ByteArrayOutputStream();

  /**
   * Creates an empty body.
   *
   * @param mostBytes most bytes that it may have
   */
  public AnswerBody(int mostBytes) {
    this.mostBytes = mostBytes;
  }

  /** Adds bytes, unless the body would pass its bound; returns whether they were added. */
  public boolean add(ByteBuf content) {
    if (gathered.size() + content.readableBytes() > mostBytes) {
      return false;
    }
    byte[] bytes = new byte[content.readableBytes()];
    content.readBytes(bytes);
    gathered.writeBytes(bytes);
    return true;
  }

  /** Returns what was gathered. */
  public byte[] bytes() {
    return gathered.toByteArray();
  }
}
