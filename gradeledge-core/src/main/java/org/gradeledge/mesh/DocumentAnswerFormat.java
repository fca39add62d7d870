package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.peer.MessageFields;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.msgpack.core.MessagePacker;

/** Message format of {@link DocumentAnswer}: a map. */
final class DocumentAnswerFormat implements MessageFormat<DocumentAnswer> {

  private static final int FIELDS = 1;
  private static final String DOCUMENT = "document";

  @Override
  public void write(MessagePacker packer, DocumentAnswer message) throws IOException {
    packer.packMapHeader(FIELDS);
    packer.packString(DOCUMENT).packBinaryHeader(message.document().length);
    packer.writePayload(message.document());
  }

  @Override
  public DocumentAnswer read(MessageReader reader) throws IOException {
    MessageFields fields = reader.readFields();
    return new DocumentAnswer(fields.getBytes(DOCUMENT));
  }
}
