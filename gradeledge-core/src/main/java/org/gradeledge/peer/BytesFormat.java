package org.gradeledge.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/** Bytes as they are. */
final class BytesFormat implements MessageFormat<byte[]> {

  @Override
  public void write(MessagePacker packer, byte[] bytes) throws IOException {
    packer.packBinaryHeader(bytes.length).writePayload(bytes);
  }

  @Override
  public byte[] read(MessageReader reader) throws IOException {
    return reader.readBytes();
  }
}
