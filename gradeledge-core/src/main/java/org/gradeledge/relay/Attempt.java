package org.gradeledge.relay;

import org.gradeledge.connection.CallListener;
import org.gradeledge.connection.UpstreamCall;
import org.gradeledge.discovery.UpstreamRecord;

/** One try of a request at one upstream. Confined to the event loop. */
interface Attempt extends CallListener {

  /** The upstream that was chosen. */
  UpstreamRecord upstream();

  /** Tells how to give the call up. */
  void started(UpstreamCall call);

  /** Gives the call up. */
  void cancel();
}
