package org.gradeledge.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/** Frames, as arrays. */
final class PeerFrameFormat implements MessageFormat<PeerFrame> {

  private static final int FIELDS = 4;

  @Override
  public void write(MessagePacker packer, PeerFrame frame) throws IOException {
    packer.packArrayHeader(FIELDS);
    packer.packString(frame.type());
    packer.packLong(frame.correlation());
    packer.packBoolean(frame.answer());
    packer.packBinaryHeader(frame.body().length);
    packer.writePayload(frame.body());
  }

  @Override
  public PeerFrame read(MessageReader reader) throws IOException {
    int more = reader.beginRecord(FIELDS);
    PeerFrame frame =
        new PeerFrame(
            reader.readString(), reader.readLong(), reader.readBoolean(), reader.readBytes());
    reader.skip(more);
    return frame;
  }
}
