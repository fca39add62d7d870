package org.gradeledge.peer;

import org.gradeledge.metrics.BoxMetrics;
import reactor.core.scheduler.Scheduler;

/** Access of a {@link PeerConnection} to the network that it belongs to. */
interface PeerContext {

  PeerCodec codec();

  PeerSecret secret();

  PeerHandlers handlers();

  BoxMetrics metrics();

  /** Returns the scheduler of timeouts. */
  Scheduler scheduler();

  /** Returns a new handshake message of this box. */
  PeerHello newHello();

  /** Called once the peer is authenticated; returns whether to keep the connection. */
  boolean connectionOpened(PeerConnection connection);

  /** Called once an open connection is closed. */
  void connectionClosed(PeerConnection connection);
}
