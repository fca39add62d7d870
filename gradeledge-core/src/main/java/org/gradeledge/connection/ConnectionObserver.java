package org.gradeledge.connection;

/** Observes the responses on one connection. Called on the event loop. */
interface ConnectionObserver {

  /** Called with the head of each response to a call, even if the call was cancelled. */
  void onHead(ResponseHead head);

  /** Called with data that is not the response to a call. */
  void onAnomaly(ResponseAnomaly anomaly);
}
