package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.peer.MessageFields;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.msgpack.core.MessagePacker;

/** Message format of {@link StageFree}: a map. */
final class StageFreeFormat implements MessageFormat<StageFree> {

  private static final int FIELDS = 1;
  private static final String HANDLES = "handles";

  @Override
  public void write(MessagePacker packer, StageFree message) throws IOException {
    packer.packMapHeader(FIELDS);
    packer.packString(HANDLES);
    TextLists.write(packer, message.handles());
  }

  @Override
  public StageFree read(MessageReader reader) throws IOException {
    MessageFields fields = reader.readFields();
    return new StageFree(fields.getStrings(HANDLES));
  }
}
