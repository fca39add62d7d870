package org.gradeledge.batch;

import io.vavr.control.Either;
import java.util.List;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * How calls for stage work look on the wire.
 *
 * @since 0.2
 */
public interface StageProtocol {

  /** Returns the request that makes the items. */
  OutgoingRequest encodeCall(UpstreamRecord target, List<CallItem> items);

  /** Returns what came of each item, in their order, or why the answer cannot be read. */
  Either<String, List<PieceResult>> decodeAnswer(byte[] body, int items);

  /** Returns the request that gives results up. */
  OutgoingRequest encodeRelease(UpstreamRecord target, List<String> handles);

  /** Returns the address of the upstream that holds a result. */
  String addressOf(String handle);
}
