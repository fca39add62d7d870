package org.gradeledge.standin;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Puts a fault on every call while it is set, or on the next few calls only. Thread-safe.
 *
 * @param <F> the faults there are
 */
public final class FaultInjector<F> {

  private record Setting<F>(F fault, AtomicInteger callsToSkip, AtomicInteger callsToFail) {}

  private final F noFault;
  private final AtomicReference<Setting<F>> setting;
  private volatile boolean triggered;

  /** Creates a switch that is off; {@code none} stands for no fault. */
  public FaultInjector(F none) {
    this.noFault = none;
    this.setting =
        new AtomicReference<>(new Setting<>(none, new AtomicInteger(), new AtomicInteger()));
  }

  /** Sets a fault until it is changed again. */
  public void set(F fault) {
    setAfter(0, fault, Integer.MAX_VALUE);
  }

  /** Sets a fault for the next calls; after them there is none. */
  public void setForNext(F fault, int calls) {
    setAfter(0, fault, calls);
  }

  /** Sets a fault for some calls after a number of good ones. */
  public void setAfter(int goodCalls, F fault, int calls) {
    triggered = false;
    setting.set(new Setting<>(fault, new AtomicInteger(goodCalls), new AtomicInteger(calls)));
  }

  /** Returns whether the fault has hit a call since it was set. */
  public boolean hasTriggered() {
    return triggered;
  }

  /** Returns the fault that hits a call made now, and counts the call. */
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
