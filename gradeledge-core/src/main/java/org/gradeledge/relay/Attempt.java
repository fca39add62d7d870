package org.gradeledge.relay;

import org.gradeledge.connection.CallListener;
import org.gradeledge.connection.CancellableCall;
import org.gradeledge.discovery.UpstreamRecord;

/** One try of a request at one upstream. Confined to the event loop. */
interface Attempt extends CallListener {

  /** The upstream that was chosen. */
  UpstreamRecord upstream();

  /** Tells how to give the call up. */
  void setCall(CancellableCall call);

  /** Gives the call up. */
  void cancel();

  /**
   * Gives the call up as nothing came on its connection for too long: none of that age is used
   * again, and the upstream is avoided for a while.
   */
  void abandonAsSilent();

  /** Returns an attempt of the kind that the route's answers need. */
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
