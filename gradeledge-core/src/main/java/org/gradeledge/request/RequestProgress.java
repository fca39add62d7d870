package org.gradeledge.request;

import org.gradeledge.verdict.Verdict;

/** Tracks the progress of a request for the verdict in case it is refused. Thread-safe. */
final class RequestProgress {

  private Verdict endedCallsVerdict = Verdict.NOT_RUN;
  private int callsInFlight;
  private String stage = "";

  synchronized void enterStage(String stageName) {
    stage = stageName;
  }

  /** Records the start of an upstream call; it counts as "may have run" until it ends. */
  synchronized void callStarted() {
    callsInFlight++;
  }

  /** Records the end of an upstream call and its verdict. */
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
