package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.peer.MessageFields;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.msgpack.core.MessagePacker;

/** Message format of {@link UpstreamList}: a map. */
final class UpstreamListFormat implements MessageFormat<UpstreamList> {

  private static final int FIELDS = 3;
  private static final int RECORD_FIELDS = 10;
  private static final String REVISION = "revision";
  private static final String UPSTREAMS = "upstreams";
  private static final String DOUBTED = "doubted";
  private static final String ID = "id";
  private static final String BORN = "born";
  private static final String SERVICE = "service";
  private static final String HOST = "host";
  private static final String PORT = "port";
  private static final String ZONE = "zone";
  private static final String SLOTS = "slots";
  private static final String LEAVING = "leaving";
  private static final String COLD_MILLIS = "coldMillis";
  private static final String SOFTWARE_VERSION = "softwareVersion";

  @Override
  public void write(MessagePacker packer, UpstreamList list) throws IOException {
    packer.packMapHeader(FIELDS);
    packer.packString(REVISION).packLong(list.revision());
    packer.packString(UPSTREAMS).packArrayHeader(list.upstreams().size());
    for (UpstreamRecord upstream : list.upstreams()) {
      write(packer, upstream);
    }
    packer.packString(DOUBTED).packBoolean(list.doubted());
  }

  private static void write(MessagePacker packer, UpstreamRecord upstream) throws IOException {
    packer.packMapHeader(RECORD_FIELDS);
    packer.packString(ID).packString(upstream.id());
    packer.packString(BORN).packLong(upstream.born());
    packer.packString(SERVICE).packString(upstream.service());
    packer.packString(HOST).packString(upstream.host());
    packer.packString(PORT).packInt(upstream.port());
    packer.packString(ZONE).packString(upstream.zone());
    packer.packString(SLOTS).packInt(upstream.slots());
    packer.packString(LEAVING).packBoolean(upstream.leaving());
    packer.packString(COLD_MILLIS).packLong(upstream.coldMillis());
    packer.packString(SOFTWARE_VERSION);
    if (upstream.softwareVersion().isPresent()) {
      packer.packString(upstream.softwareVersion().get());
    } else {
      packer.packNil();
    }
  }

  @Override
  public UpstreamList read(MessageReader reader) throws IOException {
    MessageFields fields = reader.readFields();
    return new UpstreamList(
        fields.getLong(REVISION),
        fields.getRecords(UPSTREAMS).stream().map(UpstreamListFormat::read).toList(),
        fields.getBooleanOrFalse(DOUBTED));
  }

  private static UpstreamRecord read(MessageFields fields) {
    return new UpstreamRecord(
        fields.getString(ID),
        fields.getLongOrDefault(BORN, 0),
        fields.getString(SERVICE),
        fields.getString(HOST),
        fields.getInt(PORT),
        fields.getString(ZONE),
        fields.getInt(SLOTS),
        fields.getBoolean(LEAVING),
        fields.getLongOrDefault(COLD_MILLIS, 0),
        fields.getOptionalString(SOFTWARE_VERSION));
  }
}
