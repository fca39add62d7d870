package org.gradeledge.mesh;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.gradeledge.resumption.OriginRecord;

/**
 * Origins of streams: those that the receiver is to store, or those that answer an {@link
 * OriginQuery}.
 *
 * @param records the records; empty if the sender knows none
 */
record OriginRecords(List<OriginRecord> records) {

  /** Creates the answer to a query; the retention is known to the sender only. */
  static OriginRecords answer(long streamKey, Set<Long> originHashes) {
    return new OriginRecords(
        originHashes.stream().map(origin -> new OriginRecord(streamKey, origin, 0)).toList());
  }

  /** Returns the different origins of the records. */
  Set<Long> originHashes() {
    return records.stream().map(OriginRecord::originHash).collect(Collectors.toSet());
  }
}
