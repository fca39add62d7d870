package org.gradeledge.mesh;

import java.io.IOException;
import java.util.List;
import org.gradeledge.limit.LimitReport;
import org.gradeledge.peer.MessageReader;
import org.msgpack.core.MessagePacker;

/** Message format of {@link LimitReport}: an array. */
abstract class LimitReportFormat {

  private static final int FIELDS = 3;

  private LimitReportFormat() {}

  static void writeAll(MessagePacker packer, List<LimitReport> reports) throws IOException {
    packer.packArrayHeader(reports.size());
    for (LimitReport report : reports) {
      packer.packArrayHeader(FIELDS);
      packer.packString(report.incarnationId());
      packer.packLong(report.requestsPer1000Seconds());
      packer.packLong(report.ageMillis());
    }
  }

  static LimitReport read(MessageReader reader) throws IOException {
    int extraFields = reader.beginRecord(FIELDS);
    LimitReport report = new LimitReport(reader.readString(), reader.readLong(), reader.readLong());
    reader.skip(extraFields);
    return report;
  }
}
