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

/** Heartbeats, as arrays. */
final class HeartbeatFormat implements MessageFormat<Heartbeat> {

  private static final int FIELDS = 16;

  /** Fields that all older boxes send; they may know of none of those after them. */
  private static final int REQUIRED_FIELDS = 10;

  private static final long NO_QUARANTINE_DIGEST = 0;
  private static final long NO_SEQUENCE_NUMBER = 0;
  private static final int SHARE_FIELDS = 2;
  private static final int EVACUATION_FIELDS = 2;

  @Override
  public void write(MessagePacker packer, Heartbeat beat) throws IOException {
    packer.packArrayHeader(FIELDS);
    packer.packString(beat.zone());
    packer.packBoolean(beat.leaving());
    packer.packBoolean(beat.relayRequested());
    packer.packInt(beat.weight());
    packer.packLong(beat.configurationRevision());
    packer.packLong(beat.upstreamsRevision());
    TextLists.write(packer, beat.aliveBoxes());
    packer.packMapHeader(beat.loadShares().size());
    for (Map.Entry<String, BoxLoad> share : beat.loadShares().entrySet()) {
      packer.packString(share.getKey());
      packer.packArrayHeader(SHARE_FIELDS);
      packer.packInt(share.getValue().inFlight());
      packer.packLong(share.getValue().memory());
    }
    writeNumbers(packer, beat.backlogMillis());
    writeNumbers(packer, beat.pendingPieces());
    write(packer, beat.evacuations());
    packer.packLong(beat.quarantineDigest());
    packer.packInt(beat.listTrust());
    packer.packLong(beat.sequenceNumber());
    LimitReportFormat.writeAll(packer, beat.limits());
    TextLists.write(packer, beat.leavingUpstreams());
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
    int more = reader.beginRecord(REQUIRED_FIELDS);
    Heartbeat beat =
        new Heartbeat(
            reader.text(),
            reader.flag(),
            reader.flag(),
            reader.integer(),
            reader.number(),
            reader.number(),
            reader.list(MessageReader::text),
            reader.map(HeartbeatFormat::readShare),
            reader.map(HeartbeatFormat::readNumbers),
            reader.map(HeartbeatFormat::readNumbers),
            more > 0 ? readEvacuations(reader) : ZoneEvacuations.UNKNOWN,
            more > 1 ? reader.number() : NO_QUARANTINE_DIGEST,
            more > 2 ? reader.integer() : ListTrust.UNKNOWN.code(),
            more > 3 ? reader.number() : NO_SEQUENCE_NUMBER,
            more > 4 ? reader.list(LimitReportFormat::read) : List.of(),
            more > 5 ? reader.list(MessageReader::text) : List.of());
    reader.skip(Math.max(0, more - 6));
    return beat;
  }

  private static ZoneEvacuations readEvacuations(MessageReader reader) throws IOException {
    int more = reader.beginRecord(EVACUATION_FIELDS);
    long revision = reader.number();
    List<String> zones = reader.list(MessageReader::text);
    reader.skip(more);
    return new ZoneEvacuations(revision, new HashSet<>(zones));
  }

  private static BoxLoad readShare(MessageReader reader) throws IOException {
    int more = reader.beginRecord(SHARE_FIELDS);
    BoxLoad share = new BoxLoad(reader.integer(), reader.number());
    reader.skip(more);
    return share;
  }

  private static List<Long> readNumbers(MessageReader reader) throws IOException {
    return reader.list(MessageReader::number);
  }
}
