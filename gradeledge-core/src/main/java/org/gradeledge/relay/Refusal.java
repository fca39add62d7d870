package org.gradeledge.relay;

/**
 * Why the box itself ends a request, and what it tells the caller.
 *
 * <p>A status of 503 or 429 promises that the request has not run and never will; 502 and 504
 * promise nothing.
 *
 * @since 0.2
 */
public enum Refusal {
  /** The box knows no configuration yet. */
  NO_CONFIGURATION(503, true),
  /** No route takes the request. */
  NO_ROUTE(404, false),
  /** The route needs a key, and the request has none that is known. */
  UNKNOWN_KEY(401, false),
  /** The request cannot be understood. */
  BAD_REQUEST(400, false),
  /** The body is over the bound. */
  BODY_TOO_LARGE(413, false),
  /** The box is stopping. */
  STOPPING(503, true),
  /** No upstream of the service takes new work. */
  NO_UPSTREAM(503, true),
  /** All upstreams that were asked said that they did not run it. */
  UPSTREAMS_FULL(503, true),
  /** What the upstreams say they take now is used up, and more comes too late. */
  UPSTREAMS_LIMITED(503, true),
  /** The stages before cannot be done in the time left, or failed. */
  STAGES_FAILED(503, true),
  /** Each upstream that ran it ended, so that it is held back. */
  QUARANTINED(
      503,
      "Each upstream that began to run this request ended. It was not run now, and repeating it"
          + " does not help.\n"),
  /** The time is up, and the request has not run. */
  LATE_NOT_RUN(503, true),
  /** The time is up while an upstream was at work. */
  LATE(504, false),
  /** An upstream broke off; it may have run the request. */
  BROKEN(502, false);

  private final int status;
  private final boolean notRun;
  private final String explanation;

  Refusal(int status, boolean notRun) {
    this(status, notRun, "");
  }

  /** One that promises that the request has not run, and says why in words. */
  Refusal(int status, String explanation) {
    this(status, true, explanation);
  }

  Refusal(int status, boolean notRun, String explanation) {
    this.status = status;
    this.notRun = notRun;
    this.explanation = explanation;
  }

  /** Returns the status of the answer. */
  public int status() {
    return status;
  }

  /** Returns whether the answer promises that the request has not run; asking again may help. */
  public boolean notRun() {
    return notRun;
  }

  /** Returns what the caller is told in words; empty where the status says it all. */
  public String explanation() {
    return explanation;
  }
}
