package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.gradeledge.quarantine.EndReport;
import org.gradeledge.quarantine.RequestFingerprint;
import org.gradeledge.quarantine.SuspectNews;
import org.gradeledge.quarantine.SuspectReport;
import org.msgpack.core.MessagePacker;

/** News of requests under which upstreams ended, as arrays. */
final class SuspectsFormat implements MessageFormat<SuspectNews> {

  private static final int FIELDS = 2;
  private static final int REPORT_FIELDS = 5;
  private static final int END_FIELDS = 3;

  @Override
  public void write(MessagePacker packer, SuspectNews news) throws IOException {
    packer.packArrayHeader(FIELDS);
    packer.packArrayHeader(news.reports().size());
    for (SuspectReport report : news.reports()) {
      write(packer, report);
    }
    TextLists.write(packer, news.living());
  }

  private static void write(MessagePacker packer, SuspectReport report) throws IOException {
    packer.packArrayHeader(REPORT_FIELDS);
    packer.packLong(report.fingerprint().high());
    packer.packLong(report.fingerprint().low());
    packer.packInt(report.fingerprint().shape());
    packer.packArrayHeader(report.ends().size());
    for (EndReport end : report.ends()) {
      packer.packArrayHeader(END_FIELDS);
      packer.packString(end.start());
      packer.packLong(end.ageMillis());
      packer.packBoolean(end.cleared());
    }
    packer.packBoolean(report.barred());
  }

  @Override
  public SuspectNews read(MessageReader reader) throws IOException {
    int more = reader.beginRecord(FIELDS);
    SuspectNews news =
        new SuspectNews(reader.list(SuspectsFormat::readReport), reader.list(MessageReader::text));
    reader.skip(more);
    return news;
  }

  private static SuspectReport readReport(MessageReader reader) throws IOException {
    int more = reader.beginRecord(REPORT_FIELDS);
    SuspectReport report =
        new SuspectReport(
            new RequestFingerprint(reader.number(), reader.number(), reader.integer()),
            reader.list(SuspectsFormat::readEnd),
            reader.flag());
    reader.skip(more);
    return report;
  }

  private static EndReport readEnd(MessageReader reader) throws IOException {
    int more = reader.beginRecord(END_FIELDS);
    EndReport end = new EndReport(reader.text(), reader.number(), reader.flag());
    reader.skip(more);
    return end;
  }
}
