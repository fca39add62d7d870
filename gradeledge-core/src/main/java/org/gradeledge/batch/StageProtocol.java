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
  OutgoingRequest encodeFree(UpstreamRecord target, List<String> handles);

  /** Returns the request that asks an upstream for the room that it has left for results. */
  OutgoingRequest encodeRoomQuestion(UpstreamRecord target);

  /** Returns the room that is free for results, or why the answer cannot be read. */
  Either<String, FreeRoom> decodeFreeRoom(byte[] body);

  /** Returns the address of the upstream that holds a result. */
  String addressOf(String handle);
}
