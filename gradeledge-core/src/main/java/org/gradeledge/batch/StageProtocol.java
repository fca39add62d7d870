package org.gradeledge.batch;

import io.vavr.control.Either;
import java.util.List;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Encodes calls for stage work and decodes their responses.
 *
 * @since 0.2
 */
public interface StageProtocol {

  /** Returns the request that computes the items. */
  OutgoingRequest encodeCall(UpstreamRecord target, List<CallItem> items);

  /** Returns the results in the order of the items, or the reason why the response is invalid. */
  Either<String, List<PieceResult>> decodeAnswer(byte[] body, int items);

  /** Returns the request that releases results. */
  OutgoingRequest encodeRelease(UpstreamRecord target, List<String> handles);

  /** Returns the address of the upstream that stores a result. */
  String addressOf(String handle);
}
