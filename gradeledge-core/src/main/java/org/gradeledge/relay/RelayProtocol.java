package org.gradeledge.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import org.gradeledge.connection.ConnectionReuse;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.discovery.UpstreamRecord;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Encodes and decodes relayed requests and answers.
 *
 * @since 0.2
 */
public interface RelayProtocol {

  /** Returns a caller's request, or why it is malformed. */
  Either<String, RelayRequest> read(HttpServerRequest request, byte[] body);

  /** Encodes a request for an upstream. */
  OutgoingRequest encodeRequest(
      RelayRequest request,
      UpstreamRecord target,
      ForwardingContext forwarding,
      ConnectionReuse reuse);

  /** Returns the signals in the head of an answer. */
  AnswerSignals readAnswer(int status, HttpHeaders headers);
}
