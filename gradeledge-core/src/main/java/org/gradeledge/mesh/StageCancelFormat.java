package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.peer.MessageFields;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.msgpack.core.MessagePacker;

/** Message format of {@link StageCancel}: a map. */
final class StageCancelFormat implements MessageFormat<StageCancel> {

  private static final int FIELDS = 2;
  private static final String SERVICE = "service";
  private static final String REQUEST_ID = "requestId";

  @Override
  public void write(MessagePacker packer, StageCancel message) throws IOException {
    packer.packMapHeader(FIELDS);
    packer.packString(SERVICE).packString(message.service());
    packer.packString(REQUEST_ID).packString(message.requestId());
  }

  @Override
  public StageCancel read(MessageReader reader) throws IOException {
    MessageFields fields = reader.readFields();
    return new StageCancel(fields.getString(SERVICE), fields.getString(REQUEST_ID));
  }
}
