package org.gradeledge.mesh;

import java.io.IOException;
import java.util.Collection;
import org.msgpack.core.MessagePacker;

/** Writes lists of texts in messages between boxes. */
final class TextLists {

  private TextLists() {}

  /** Writes texts as an array in iteration order. */
  static void write(MessagePacker packer, Collection<String> texts) throws IOException {
    packer.packArrayHeader(texts.size());
    for (String text : texts) {
      packer.packString(text);
    }
  }
}
