package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.msgpack.core.MessagePacker;

/** Message format of {@link OriginQuery}: an array. */
final class OriginQueryFormat implements MessageFormat<OriginQuery> {

  private static final int FIELDS = 1;

  @Override
  public void write(MessagePacker packer, OriginQuery query) throws IOException {
    packer.packArrayHeader(FIELDS);
    packer.packLong(query.streamKey());
  }

  @Override
  public OriginQuery read(MessageReader reader) throws IOException {
    int extraFields = reader.beginRecord(FIELDS);
    OriginQuery query = new OriginQuery(reader.readLong());
    reader.skip(extraFields);
    return query;
  }
}
