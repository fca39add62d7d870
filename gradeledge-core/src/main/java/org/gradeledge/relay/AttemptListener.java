package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.gradeledge.connection.CallFailure;

/** Receives the progress and the result of attempts. */
interface AttemptListener {

  /** Called when the request has been written to a connection to the upstream. */
  void sent(Attempt attempt);

  /** Called when the upstream reports that it did not run the request. */
  void notRun(Attempt attempt, int status, HttpHeaders headers, AnswerSignals signals);

  /** Called when the attempt has failed before the answer was complete. */
  void failed(Attempt attempt, CallFailure failure);

  /** Called with a complete answer. */
  void answered(Attempt attempt, int status, HttpHeaders headers, ByteBuf body);

  /** Called with complete events; the listener must release the buffer. */
  void eventsReceived(StreamAttempt attempt, ByteBuf events);

  /** Called when the stream has ended after a complete event. */
  void streamEnded(StreamAttempt attempt);
}
