package org.gradeledge.node;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.gradeledge.follow.TableRow;
import org.gradeledge.resumption.OriginRecord;

/**
 * A row with origins of streams, 20 bytes for each record.
 *
 * @param key unique key of the row
 * @param records the records
 */
record OriginRow(String key, List<OriginRecord> records) {

  private static final int RECORD_BYTES = 2 * Long.BYTES + Integer.BYTES;

  TableRow encode() {
    ByteBuffer buffer = ByteBuffer.allocate(records.size() * RECORD_BYTES);
    records.forEach(
        each ->
            buffer
                .putLong(each.streamKey())
                .putLong(each.originHash())
                .putInt((int) Math.min(Integer.MAX_VALUE, each.retentionMillis())));
    return new TableRow(key, buffer.array());
  }

  /** Decodes a row; ignores an incomplete record at its end. */
  static OriginRow decode(TableRow row) {
    ByteBuffer buffer = ByteBuffer.wrap(row.value());
    List<OriginRecord> records = new ArrayList<>();
    while (buffer.remaining() >= RECORD_BYTES) {
      records.add(new OriginRecord(buffer.getLong(), buffer.getLong(), buffer.getInt()));
    }
    return new OriginRow(row.key(), records);
  }

  /** Returns the longest time for which a caller of one of the streams may come back. */
  Duration retention() {
    return Duration.ofMillis(
        records.stream().mapToLong(OriginRecord::retentionMillis).max().orElse(0));
  }
}
