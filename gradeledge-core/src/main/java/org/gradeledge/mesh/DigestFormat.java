package org.gradeledge.mesh;

import java.io.IOException;
import java.util.List;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.msgpack.core.MessagePacker;

/** Message format of {@link Digest}: a map with one list, whose entries are arrays. */
final class DigestFormat implements MessageFormat<Digest> {

  private static final int FIELDS = 1;
  private static final int ENTRY_FIELDS = 3;
  private static final String ENTRIES = "entries";

  private final HeartbeatFormat heartbeats = new HeartbeatFormat();

  @Override
  public void write(MessagePacker packer, Digest digest) throws IOException {
    packer.packMapHeader(FIELDS).packString(ENTRIES);
    packer.packArrayHeader(digest.entries().size());
    for (DigestEntry entry : digest.entries()) {
      packer.packArrayHeader(ENTRY_FIELDS);
      packer.packString(entry.box());
      packer.packLong(entry.ageMillis());
      heartbeats.write(packer, entry.heartbeat());
    }
  }

  @Override
  public Digest read(MessageReader reader) throws IOException {
    return new Digest(reader.readField(ENTRIES, this::readEntries));
  }

  private List<DigestEntry> readEntries(MessageReader reader) throws IOException {
    return reader.readList(this::readEntry);
  }

  private DigestEntry readEntry(MessageReader reader) throws IOException {
    int extraFields = reader.beginRecord(ENTRY_FIELDS);
    DigestEntry entry =
        new DigestEntry(reader.readString(), reader.readLong(), heartbeats.read(reader));
    reader.skip(extraFields);
    return entry;
  }
}
