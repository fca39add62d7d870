package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.gradeledge.quarantine.CrashReport;
import org.gradeledge.quarantine.RequestFingerprint;
import org.gradeledge.quarantine.SuspectReport;
import org.gradeledge.quarantine.SuspectUpdate;
import org.msgpack.core.MessagePacker;

/** Message format of {@link SuspectUpdate}: arrays. */
final class SuspectsFormat implements MessageFormat<SuspectUpdate> {

  private static final int FIELDS = 2;
  private static final int REPORT_FIELDS = 6;

  /** Number of fields that every older version sends. */
  private static final int REQUIRED_REPORT_FIELDS = 5;

  private static final int END_FIELDS = 3;

  @Override
  public void write(MessagePacker packer, SuspectUpdate records) throws IOException {
    packer.packArrayHeader(FIELDS);
    packer.packArrayHeader(records.reports().size());
    for (SuspectReport report : records.reports()) {
      write(packer, report);
    }
    TextLists.write(packer, records.aliveIncarnationIds());
  }

  private static void write(MessagePacker packer, SuspectReport report) throws IOException {
    packer.packArrayHeader(REPORT_FIELDS);
    packer.packLong(report.fingerprint().high());
    packer.packLong(report.fingerprint().low());
    packer.packInt(report.fingerprint().shapeHash());
    packer.packArrayHeader(report.crashes().size());
    for (CrashReport end : report.crashes()) {
      packer.packArrayHeader(END_FIELDS);
      packer.packString(end.incarnationId());
      packer.packLong(end.ageMillis());
      packer.packBoolean(end.withdrawn());
    }
    packer.packBoolean(report.quarantined());
    packer.packInt(report.breadth());
  }

  @Override
  public SuspectUpdate read(MessageReader reader) throws IOException {
    int extraFields = reader.beginRecord(FIELDS);
    SuspectUpdate records =
        new SuspectUpdate(
            reader.readList(SuspectsFormat::readReport),
            reader.readList(MessageReader::readString));
    reader.skip(extraFields);
    return records;
  }

  private static SuspectReport readReport(MessageReader reader) throws IOException {
    int optionalFields = reader.beginRecord(REQUIRED_REPORT_FIELDS);
    SuspectReport report =
        new SuspectReport(
            new RequestFingerprint(reader.readLong(), reader.readLong(), reader.readInt()),
            reader.readList(SuspectsFormat::readEnd),
            reader.readBoolean(),
            optionalFields > 0 ? reader.readInt() : 0);
    reader.skip(Math.max(0, optionalFields - 1));
    return report;
  }

  private static CrashReport readEnd(MessageReader reader) throws IOException {
    int extraFields = reader.beginRecord(END_FIELDS);
    CrashReport end = new CrashReport(reader.readString(), reader.readLong(), reader.readBoolean());
    reader.skip(extraFields);
    return end;
  }
}
