package org.gradeledge.node;

import reactor.netty.DisposableServer;

/**
 * The listening ports of a box.
 *
 * @since 0.1
 */
public final class BoxPorts {

  private final DisposableServer caller;
  private final DisposableServer operator;
  private final DisposableServer peer;

  BoxPorts(DisposableServer caller, DisposableServer operator, DisposableServer peer) {
    this.caller = caller;
    this.operator = operator;
    this.peer = peer;
  }

  /** Returns the port for callers. */
  public int callerPort() {
    return caller.port();
  }

  /** Returns the port for operators. */
  public int operatorPort() {
    return operator.port();
  }

  /** Returns the port for other boxes. */
  public int peerPort() {
    return peer.port();
  }

  void close() {
    caller.disposeNow();
    operator.disposeNow();
    peer.disposeNow();
  }
}
