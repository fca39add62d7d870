package org.gradeledge.request;

import org.gradeledge.verdict.Verdict;

/** How far one request has come, for the verdict that goes with an early end. Thread-safe. */
final class RequestProgress {

  private Verdict endedCallsVerdict = Verdict.NOT_RUN;
  private int callsInFlight;
  private String stage = "";

  synchronized void enterStage(String stageName) {
    stage = stageName;
  }

  /** Notes that a call starts; until it ends, it may have run. */
  synchronized void callStarted() {
    callsInFlight++;
  }

  /** Notes that a call ended and whether it may have run. */
  synchronized void callEnded(Verdict verdict) {
    callsInFlight--;
    endedCallsVerdict = endedCallsVerdict.combine(verdict);
  }

  synchronized Verdict verdict() {
    return callsInFlight > 0 ? endedCallsVerdict.combine(Verdict.MAY_HAVE_RUN) : endedCallsVerdict;
  }

  synchronized String stage() {
    return stage;
  }
}
