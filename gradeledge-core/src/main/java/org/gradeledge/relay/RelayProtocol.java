package org.gradeledge.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import org.gradeledge.connection.ConnectionReuse;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.discovery.UpstreamRecord;
import reactor.netty.http.server.HttpServerRequest;

/**
 * How relayed requests and answers look on the wire.
 *
 * @since 0.2
 */
public interface RelayProtocol {

  /** Returns a caller's request, or what is wrong with it. */
  Either<String, RelayRequest> read(HttpServerRequest request, byte[] body);

  /** Returns the request as it goes to an upstream. */
  OutgoingRequest encode(
      RelayRequest request, UpstreamRecord target, AttemptFacts facts, ConnectionReuse reuse);

  /** Returns what the head of an answer tells. */
  AnswerFacts readAnswer(int status, HttpHeaders headers);
}
