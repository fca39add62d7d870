package org.gradeledge.standin;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Injects a fault into all calls or into a limited number of calls. Thread-safe.
 *
 * @param <F> type of the faults
 */
public final class FaultInjector<F> {

  private record Setting<F>(F fault, AtomicInteger callsToSkip, AtomicInteger callsToFail) {}

  private final F noFault;
  private final AtomicReference<Setting<F>> setting;
  private volatile boolean triggered;

  /** Creates an injector without a fault; {@code noFault} is the value for this state. */
  public FaultInjector(F noFault) {
    this.noFault = noFault;
    this.setting =
        new AtomicReference<>(new Setting<>(noFault, new AtomicInteger(), new AtomicInteger()));
  }

  /** Sets the fault for all further calls. */
  public void set(F fault) {
    setAfter(0, fault, Integer.MAX_VALUE);
  }

  /** Sets the fault for a number of calls. */
  public void setForNext(F fault, int calls) {
    setAfter(0, fault, calls);
  }

  /** Sets the fault for a number of calls that follow some calls without a fault. */
  public void setAfter(int callsToSkip, F fault, int callsToFail) {
    triggered = false;
    setting.set(
        new Setting<>(fault, new AtomicInteger(callsToSkip), new AtomicInteger(callsToFail)));
  }

  /** Returns whether a call has received the fault since it was set. */
  public boolean hasTriggered() {
    return triggered;
  }

  /** Counts a call and returns its fault. */
  public F nextFault() {
    Setting<F> current = setting.get();
    if (current.callsToSkip().getAndDecrement() > 0) {
      return noFault;
    }
    if (current.callsToFail().getAndDecrement() <= 0) {
      return noFault;
    }
    triggered = true;
    return current.fault();
  }
}
