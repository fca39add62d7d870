package org.gradeledge.relay;

/** How the answer to a request ended, as the caller sees it. */
enum AnswerEnd {
  /** A complete answer of an upstream. */
  COMPLETE("complete"),
  /** An error answer of this box. */
  REFUSED("refused"),
  /** A stream that this box ended before its last event. */
  CUT("cut"),
  /** The caller closed its connection. */
  CALLER_LEFT("caller-left"),
  /** The process ended while the request was in flight. */
  PROCESS_ENDED("process-ended");

  private final String label;

  AnswerEnd(String label) {
    this.label = label;
  }

  /** Returns the name in logs and metrics. */
  String label() {
    return label;
  }
}
