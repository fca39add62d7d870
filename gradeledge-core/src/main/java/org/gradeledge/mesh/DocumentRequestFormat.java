package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.peer.MessageFields;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.msgpack.core.MessagePacker;

/** Message format of {@link DocumentRequest}: a map. */
final class DocumentRequestFormat implements MessageFormat<DocumentRequest> {

  private static final int FIELDS = 1;
  private static final String KNOWN = "known";

  @Override
  public void write(MessagePacker packer, DocumentRequest message) throws IOException {
    packer.packMapHeader(FIELDS);
    packer.packString(KNOWN).packLong(message.known());
  }

  @Override
  public DocumentRequest read(MessageReader reader) throws IOException {
    MessageFields fields = reader.readFields();
    return new DocumentRequest(fields.getLong(KNOWN));
  }
}
