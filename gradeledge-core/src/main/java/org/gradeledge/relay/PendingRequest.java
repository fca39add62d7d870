package org.gradeledge.relay;

import java.util.function.Supplier;

/** A request whose exchange starts later, unless its caller disconnects. */
final class PendingRequest implements RelayHandler.ActiveRequest {

  private RelayHandler.ActiveRequest started = () -> {};
  private boolean disconnected;

  /** Starts the exchange, unless the caller has disconnected. */
  void start(Supplier<RelayHandler.ActiveRequest> exchange) {
    if (!disconnected) {
      started = exchange.get();
    }
  }

  @Override
  public void callerDisconnected() {
    disconnected = true;
    started.callerDisconnected();
  }
}
