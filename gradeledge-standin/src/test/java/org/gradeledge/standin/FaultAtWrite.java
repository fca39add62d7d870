package org.gradeledge.standin;

import java.util.function.Supplier;
import org.gradeledge.standin.platform.PlatformFault;

/** Puts a fault on the n-th write to the table during some action, counted from 0. */
record FaultAtWrite(Deployment deployment, int write, PlatformFault fault) {

  <T> T during(Supplier<T> action) {
    deployment.platform.faultInjector("commit").setAfter(write, fault, 1);
    T result = action.get();
    deployment.platform.faultInjector("commit").set(PlatformFault.NONE);
    return result;
  }
}
