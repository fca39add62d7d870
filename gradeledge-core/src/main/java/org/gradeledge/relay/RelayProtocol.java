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
  OutgoingRequest encodeRequest(
      RelayRequest request, UpstreamRecord target, ForwardingContext facts, ConnectionReuse reuse);

  /** Returns what the head of an answer tells. */
  AnswerSignals readAnswer(int status, HttpHeaders headers);
}
