package org.gradeledge.request;

import org.gradeledge.verdict.Verdict;

/** How far one request has come, for the verdict that goes with an early end. Thread-safe. */
final class RequestProgress {

  private Verdict settled = Verdict.NOT_RUN;
  private int open;
  private String stage = "";

  synchronized void reached(String stageName) {
    stage = stageName;
  }

  /** Notes that a call starts; until it ends, it may have run. */
  synchronized void callStarted() {
    open++;
  }

  /** Notes that a call ended and whether it may have run. */
  synchronized void callEnded(Verdict verdict) {
    open--;
    settled = settled.combine(verdict);
  }

  synchronized Verdict verdict() {
    return open > 0 ? settled.combine(Verdict.MAY_HAVE_RUN) : settled;
  }

  synchronized String stage() {
    return stage;
  }
}
