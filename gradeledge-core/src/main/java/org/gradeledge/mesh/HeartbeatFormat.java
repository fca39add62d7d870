package org.gradeledge.mesh;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.gradeledge.discovery.ListTrust;
import org.gradeledge.discovery.ZoneEvacuations;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.gradeledge.selection.BoxLoad;
import org.msgpack.core.MessagePacker;

/** Message format of {@link Heartbeat}: an array. */
final class HeartbeatFormat implements MessageFormat<Heartbeat> {

  private static final int FIELDS = 16;

  /** Number of fields that every older version sends; the others are optional. */
  private static final int REQUIRED_FIELDS = 10;

  private static final long NO_QUARANTINE_DIGEST = 0;
  private static final long NO_SEQUENCE_NUMBER = 0;
  private static final int SHARE_FIELDS = 2;
  private static final int EVACUATION_FIELDS = 2;

  @Override
  public void write(MessagePacker packer, Heartbeat heartbeat) throws IOException {
    packer.packArrayHeader(FIELDS);
    packer.packString(heartbeat.zone());
    packer.packBoolean(heartbeat.leaving());
    packer.packBoolean(heartbeat.relayRequested());
    packer.packInt(heartbeat.weight());
    packer.packLong(heartbeat.configurationRevision());
    packer.packLong(heartbeat.upstreamsRevision());
    TextLists.write(packer, heartbeat.aliveBoxes());
    packer.packMapHeader(heartbeat.loadShares().size());
    for (Map.Entry<String, BoxLoad> share : heartbeat.loadShares().entrySet()) {
      packer.packString(share.getKey());
      packer.packArrayHeader(SHARE_FIELDS);
      packer.packInt(share.getValue().inFlight());
      packer.packLong(share.getValue().memory());
    }
    writeNumbers(packer, heartbeat.backlogMillis());
    writeNumbers(packer, heartbeat.pendingPieces());
    write(packer, heartbeat.evacuations());
    packer.packLong(heartbeat.quarantineDigest());
    packer.packInt(heartbeat.listTrust());
    packer.packLong(heartbeat.sequenceNumber());
    LimitReportFormat.writeAll(packer, heartbeat.limits());
    TextLists.write(packer, heartbeat.leavingUpstreams());
  }

  private static void write(MessagePacker packer, ZoneEvacuations evacuations) throws IOException {
    packer.packArrayHeader(EVACUATION_FIELDS);
    packer.packLong(evacuations.revision());
    TextLists.write(packer, evacuations.zones());
  }

  private static void writeNumbers(MessagePacker packer, Map<String, List<Long>> lists)
      throws IOException {
    packer.packMapHeader(lists.size());
    for (Map.Entry<String, List<Long>> entry : lists.entrySet()) {
      packer.packString(entry.getKey());
      packer.packArrayHeader(entry.getValue().size());
      for (long number : entry.getValue()) {
        packer.packLong(number);
      }
    }
  }

  @Override
  public Heartbeat read(MessageReader reader) throws IOException {
    int extraFields = reader.beginRecord(REQUIRED_FIELDS);
    Heartbeat heartbeat =
        new Heartbeat(
            reader.readString(),
            reader.readBoolean(),
            reader.readBoolean(),
            reader.readInt(),
            reader.readLong(),
            reader.readLong(),
            reader.readList(MessageReader::readString),
            reader.readMap(HeartbeatFormat::readShare),
            reader.readMap(HeartbeatFormat::readNumbers),
            reader.readMap(HeartbeatFormat::readNumbers),
            extraFields > 0 ? readEvacuations(reader) : ZoneEvacuations.UNKNOWN,
            extraFields > 1 ? reader.readLong() : NO_QUARANTINE_DIGEST,
            extraFields > 2 ? reader.readInt() : ListTrust.UNKNOWN.code(),
            extraFields > 3 ? reader.readLong() : NO_SEQUENCE_NUMBER,
            extraFields > 4 ? reader.readList(LimitReportFormat::read) : List.of(),
            extraFields > 5 ? reader.readList(MessageReader::readString) : List.of());
    reader.skip(Math.max(0, extraFields - 6));
    return heartbeat;
  }

  private static ZoneEvacuations readEvacuations(MessageReader reader) throws IOException {
    int extraFields = reader.beginRecord(EVACUATION_FIELDS);
    long revision = reader.readLong();
    List<String> zones = reader.readList(MessageReader::readString);
    reader.skip(extraFields);
    return new ZoneEvacuations(revision, new HashSet<>(zones));
  }

  private static BoxLoad readShare(MessageReader reader) throws IOException {
    int extraFields = reader.beginRecord(SHARE_FIELDS);
    BoxLoad share = new BoxLoad(reader.readInt(), reader.readLong());
    reader.skip(extraFields);
    return share;
  }

  private static List<Long> readNumbers(MessageReader reader) throws IOException {
    return reader.readList(MessageReader::readLong);
  }
}
