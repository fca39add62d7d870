package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.gradeledge.resumption.OriginRecord;
import org.msgpack.core.MessagePacker;

/** Message format of {@link OriginRecords}: an array of arrays, as a record is sent per stream. */
final class OriginRecordsFormat implements MessageFormat<OriginRecords> {

  private static final int FIELDS = 3;

  @Override
  public void write(MessagePacker packer, OriginRecords message) throws IOException {
    packer.packArrayHeader(message.records().size());
    for (OriginRecord each : message.records()) {
      packer.packArrayHeader(FIELDS);
      packer.packLong(each.streamKey());
      packer.packLong(each.originHash());
      packer.packLong(each.retentionMillis());
    }
  }

  @Override
  public OriginRecords read(MessageReader reader) throws IOException {
    return new OriginRecords(reader.readList(OriginRecordsFormat::readRecord));
  }

  private static OriginRecord readRecord(MessageReader reader) throws IOException {
    int extraFields = reader.beginRecord(FIELDS);
    OriginRecord originRecord =
        new OriginRecord(reader.readLong(), reader.readLong(), reader.readLong());
    reader.skip(extraFields);
    return originRecord;
  }
}
