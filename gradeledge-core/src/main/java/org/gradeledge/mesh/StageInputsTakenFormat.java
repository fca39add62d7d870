package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.peer.MessageFields;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.msgpack.core.MessagePacker;

/** Message format of {@link StageInputsTaken}: a map. */
final class StageInputsTakenFormat implements MessageFormat<StageInputsTaken> {

  private static final int FIELDS = 2;
  private static final String REQUEST_ID = "requestId";
  private static final String STAGE = "stage";

  @Override
  public void write(MessagePacker packer, StageInputsTaken message) throws IOException {
    packer.packMapHeader(FIELDS);
    packer.packString(REQUEST_ID).packString(message.requestId());
    packer.packString(STAGE).packInt(message.stage());
  }

  @Override
  public StageInputsTaken read(MessageReader reader) throws IOException {
    MessageFields fields = reader.readFields();
    return new StageInputsTaken(fields.getString(REQUEST_ID), fields.getInt(STAGE));
  }
}
