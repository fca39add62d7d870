package org.gradeledge.relay;

/** What is known of an attempt that has been silent for a while. */
enum SilenceVerdict {
  /** The upstream may only pause; the attempt must go on. */
  PAUSING("pausing"),
  /** Nothing shows that the upstream still processes the request. */
  DOUBTFUL("doubtful"),
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
