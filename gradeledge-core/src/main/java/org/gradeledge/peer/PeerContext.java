package org.gradeledge.peer;

import org.gradeledge.metrics.BoxMetrics;
import reactor.core.scheduler.Scheduler;

/** What a connection needs of the network that it belongs to. */
interface PeerContext {

  PeerCodec codec();

  PeerSecret secret();

  PeerHandlers handlers();

  BoxMetrics metrics();

  /** Returns where time-outs run. */
  Scheduler scheduler();

  /** Returns a new greeting of this box. */
  PeerHello newHello();

  /** Called once the other side is proved; returns whether the connection is to be kept. */
  boolean connectionOpened(PeerConnection connection);

  /** Called once an opened connection is closed. */
  void connectionClosed(PeerConnection connection);
}
