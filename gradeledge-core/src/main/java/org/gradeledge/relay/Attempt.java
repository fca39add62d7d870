package org.gradeledge.relay;

import java.util.Optional;
import org.gradeledge.connection.CallListener;
import org.gradeledge.connection.CancellableCall;
import org.gradeledge.connection.ConnectionUse;
import org.gradeledge.discovery.UpstreamRecord;

/** One attempt to send a request to an upstream. Confined to the event loop. */
interface Attempt extends CallListener {

  /** Returns the upstream that the request is sent to. */
  UpstreamRecord upstream();

  /** Returns the connection that the request was sent on, if it was sent. */
  default Optional<ConnectionUse> connection() {
    return Optional.empty();
  }

  /** Sets the call, so that the attempt can cancel it. */
  void setCall(CancellableCall call);

  /** Cancels the call. */
  void cancel();

  /** Returns how often events of the answer have been received. */
  default int eventReads() {
    return 0;
  }

  /** Returns the time since something was last received for this attempt. */
  long silentMillis();

  /**
   * Cancels the call because nothing arrived for too long: discards pooled connections to the
   * upstream, and avoids it for a while if nothing shows that it is alive.
   */
  void abandonAsSilent(SilenceVerdict verdict);

  /** Creates an attempt for the type of answer that the route expects. */
  static Attempt create(
      RelayServices services,
      UpstreamRecord upstream,
      AdmittedRequest admitted,
      AttemptListener listener) {
    return admitted.route().repeatability().streaming()
        ? new StreamAttempt(services, upstream, admitted.request().maxTokens(), listener)
        : new WholeAnswerAttempt(services, upstream, listener);
  }
}
