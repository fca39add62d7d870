package org.gradeledge.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.util.Optional;
import org.gradeledge.connection.ConnectionReuse;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.discovery.UpstreamRecord;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Sends requests unchanged but for the last event id; only an answer of another upstream reports
 * that the request was not run.
 */
final class PassThroughProtocol implements RelayProtocol {

  static final String LAST_EVENT_ID = "Last-Event-Id";

  @Override
  public Either<String, RelayRequest> read(HttpServerRequest request, byte[] body) {
    return Either.left("not supported");
  }

  @Override
  public OutgoingRequest encodeRequest(
      RelayRequest request,
      UpstreamRecord target,
      ForwardingContext forwarding,
      ConnectionReuse reuse) {
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    forwarding.lastEventId().ifPresent(id -> headers.set(LAST_EVENT_ID, id));
    return new OutgoingRequest(
        request.method(), request.uri(), headers, request.body(), Optional.empty(), reuse);
  }

  @Override
  public AnswerSignals readAnswer(int status, HttpHeaders headers) {
    boolean fromOtherUpstream = status == SimulatedRelay.OTHER_UPSTREAM;
    return new AnswerSignals(fromOtherUpstream, fromOtherUpstream);
  }
}
