package org.gradeledge.relay;

/** The point at which a request was refused for its stage work. */
enum RefusalPoint {
  /** On arrival, as the backlogs of its stages would make it late. */
  ADMISSION("admission"),
  /** While its pieces waited, or on their submission to the box that queues them. */
  STAGE_QUEUE("stage-queue"),
  /** Its stage work failed. */
  STAGE_WORK("stage-work"),
  /** Its stage work was lost, and doing it again would make it late. */
  RECOMPUTATION("recomputation");

  private final String label;

  RefusalPoint(String label) {
    this.label = label;
  }

  /** Returns the name in logs and metrics. */
  String label() {
    return label;
  }
}
