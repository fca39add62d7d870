package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageOutcome;
import org.gradeledge.peer.MessageFields;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.msgpack.core.MessagePacker;

/** Message format of {@link StageGroupResult}: a map. */
final class StageGroupResultFormat implements MessageFormat<StageGroupResult> {

  private static final int FIELDS = 6;
  private static final String OUTCOME = "outcome";
  private static final String HANDLES = "handles";
  private static final String BOX = "box";
  private static final String COME_BACK_MILLIS = "comeBackMillis";
  private static final String WAITED_MILLIS = "waitedMillis";
  private static final String ENDED_UPSTREAMS = "endedUpstreams";

  @Override
  public void write(MessagePacker packer, StageGroupResult message) throws IOException {
    packer.packMapHeader(FIELDS);
    packer.packString(OUTCOME).packString(message.outcome().name());
    packer.packString(HANDLES);
    TextLists.write(packer, message.handles());
    packer.packString(BOX).packString(message.box());
    packer.packString(COME_BACK_MILLIS).packLong(message.comeBackMillis());
    packer.packString(WAITED_MILLIS).packLong(message.waitedMillis());
    packer.packString(ENDED_UPSTREAMS);
    TextLists.write(packer, message.endedUpstreams());
  }

  @Override
  public StageGroupResult read(MessageReader reader) throws IOException {
    MessageFields fields = reader.readFields();
    return new StageGroupResult(
        StageOutcome.valueOf(fields.getString(OUTCOME)),
        fields.getStrings(HANDLES),
        fields.getString(BOX),
        fields.getLong(COME_BACK_MILLIS),
        fields.getLong(WAITED_MILLIS),
        fields.getStringsOrEmpty(ENDED_UPSTREAMS));
  }
}
