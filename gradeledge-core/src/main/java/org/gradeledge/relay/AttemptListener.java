package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.gradeledge.connection.CallFailure;

/** Hears what comes of attempts. */
interface AttemptListener {

  /** The request was handed to an open connection to the upstream. */
  void sent(Attempt attempt);

  /** The upstream did not run the request. */
  void notRun(Attempt attempt, int status, HttpHeaders headers, AnswerSignals facts);

  /** There is no whole answer. */
  void failed(Attempt attempt, CallFailure failure);

  /** There is a whole answer. */
  void answered(Attempt attempt, int status, HttpHeaders headers, ByteBuf body);

  /** Whole events have arrived; takes over the reference. */
  void eventsReceived(StreamAttempt attempt, ByteBuf events);

  /** The stream has ended after its last event. */
  void streamEnded(StreamAttempt attempt);
}
