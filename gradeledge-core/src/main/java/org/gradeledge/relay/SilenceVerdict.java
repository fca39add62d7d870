package org.gradeledge.relay;

/** What is known of an attempt that has been silent for a while. */
enum SilenceVerdict {
  /** The upstream may only pause; the attempt must go on. */
  PAUSING("pausing"),
  /** The upstream is alive, but nothing shows that it processes the request. */
  DOUBTFUL("doubtful"),
  /** Nothing shows that the upstream is alive. */
  UNANSWERED("unanswered"),
  /** The upstream is alive, but its answer can no longer arrive on the connection. */
  CONNECTION_LOST("connection-lost");

  private final String label;

  SilenceVerdict(String label) {
    this.label = label;
  }

  /** Returns the name in logs. */
  String label() {
    return label;
  }
}
