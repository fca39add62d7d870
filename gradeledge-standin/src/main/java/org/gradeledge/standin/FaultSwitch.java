package org.gradeledge.standin;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Puts a fault on every call while it is set, or on the next few calls only. Thread-safe.
 *
 * @param <F> the faults there are
 */
public final class FaultSwitch<F> {

  private record Setting<F>(F fault, AtomicInteger callsBefore, AtomicInteger callsLeft) {}

  private final F none;
  private final AtomicReference<Setting<F>> setting;
  private volatile boolean struck;

  /** Creates a switch that is off; {@code none} stands for no fault. */
  public FaultSwitch(F none) {
    this.none = none;
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
    struck = false;
    setting.set(new Setting<>(fault, new AtomicInteger(goodCalls), new AtomicInteger(calls)));
  }

  /** Returns whether the fault has hit a call since it was set. */
  public boolean struck() {
    return struck;
  }

  /** Returns the fault that hits a call made now, and counts the call. */
  public F next() {
    Setting<F> current = setting.get();
    if (current.callsBefore().getAndDecrement() > 0) {
      return none;
    }
    if (current.callsLeft().getAndDecrement() <= 0) {
      return none;
    }
    struck = true;
    return current.fault();
  }
}
