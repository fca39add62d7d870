package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.peer.MessageFields;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.msgpack.core.MessagePacker;

/** Message format of {@link StageGroup}: a map. */
final class StageGroupFormat implements MessageFormat<StageGroup> {

  private static final int FIELDS = 14;
  private static final String SERVICE = "service";
  private static final String REQUEST_ID = "requestId";
  private static final String STAGE = "stage";
  private static final String PIECES = "pieces";
  private static final String KEY = "key";
  private static final String INPUTS = "inputs";
  private static final String INPUT_BYTES = "inputBytes";
  private static final String RESULT_BYTES = "resultBytes";
  private static final String ZONE = "zone";
  private static final String PRIORITY = "priority";
  private static final String DUE_MILLIS = "dueMillis";
  private static final String REMAINING_MILLIS = "remainingMillis";
  private static final String WAIT_MILLIS = "waitMillis";
  private static final String FIRST = "first";

  @Override
  public void write(MessagePacker packer, StageGroup message) throws IOException {
    packer.packMapHeader(FIELDS);
    packer.packString(SERVICE).packString(message.service());
    packer.packString(REQUEST_ID).packString(message.requestId());
    packer.packString(STAGE).packInt(message.stage());
    packer.packString(PIECES).packInt(message.pieces());
    packer.packString(KEY);
    if (message.key().isPresent()) {
      packer.packString(message.key().get());
    } else {
      packer.packNil();
    }
    packer.packString(INPUTS);
    TextLists.write(packer, message.inputs());
    packer.packString(INPUT_BYTES).packLong(message.inputBytes());
    packer.packString(RESULT_BYTES).packLong(message.resultBytes());
    packer.packString(ZONE).packString(message.zone());
    packer.packString(PRIORITY).packInt(message.priority());
    packer.packString(DUE_MILLIS).packLong(message.dueMillis());
    packer.packString(REMAINING_MILLIS).packLong(message.remainingMillis());
    packer.packString(WAIT_MILLIS).packLong(message.waitMillis());
    packer.packString(FIRST).packBoolean(message.first());
  }

  @Override
  public StageGroup read(MessageReader reader) throws IOException {
    MessageFields fields = reader.readFields();
    return new StageGroup(
        fields.getString(SERVICE),
        fields.getString(REQUEST_ID),
        fields.getInt(STAGE),
        fields.getInt(PIECES),
        fields.getOptionalString(KEY),
        fields.getStrings(INPUTS),
        fields.getLong(INPUT_BYTES),
        fields.getLong(RESULT_BYTES),
        fields.getString(ZONE),
        fields.getInt(PRIORITY),
        fields.getLong(DUE_MILLIS),
        fields.getLong(REMAINING_MILLIS),
        fields.getLong(WAIT_MILLIS),
        fields.getBoolean(FIRST));
  }
}
