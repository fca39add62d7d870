package org.gradeledge.mesh;

import java.util.List;
import org.gradeledge.resumption.OriginRecord;

/**
 * Origins of streams: those that the receiver is to store, or those that answer an {@link
 * OriginQuery}.
 *
 * @param records the records; empty if the sender knows none
 */
record OriginRecords(List<OriginRecord> records) {}
