package org.gradeledge.relay;

/**
 * Reasons why the box answers a request with an error itself.
 *
 * <p>The status codes 503 and 429 guarantee that the request has not run and will not run; 502 and
 * 504 guarantee nothing.
 *
 * @since 0.2
 */
public enum Refusal {
  /** The box has no configuration yet. */
  NO_CONFIGURATION(503, true),
  /** No route matches the request. */
  NO_ROUTE(404, false),
  /** The route requires a key, and the request has no valid one. */
  UNKNOWN_KEY(401, false),
  /** The name of the client account cannot be sent to upstreams. */
  ACCOUNT_NOT_FORWARDABLE(
      503, "The name of this client account cannot be sent in a header. It was not run.\n"),
  /** The request is malformed. */
  BAD_REQUEST(400, false, "The request cannot be read: %s\n"),
  /** The body exceeds the size limit. */
  BODY_TOO_LARGE(413, false),
  /** The box is stopping. */
  STOPPING(503, true),
  /** The box is stopping and may end before the request does. */
  OUTLASTS_STOP(503, true),
  /** No upstream of the service accepts new requests. */
  NO_UPSTREAM(503, true),
  /** No upstream of the software version that began the stream accepts new requests. */
  NO_UPSTREAM_OF_VERSION(
      503,
      "No server of the software version that began this stream is left to resume it. It was not"
          + " run.\n"),
  /** It is not known which software version began the stream that the caller resumes. */
  STREAM_ORIGIN_UNKNOWN(
      503,
      "It is not known which software version began this stream, so that it cannot be resumed here"
          + " now. It was not run.\n"),
  /** All upstreams that were tried rejected the request. */
  UPSTREAMS_FULL(503, true),
  /** No upstream accepts the request before its target time. */
  UPSTREAMS_LIMITED(503, true),
  /** The stage work failed or cannot be completed in time. */
  STAGES_FAILED(503, true),
  /** The request is quarantined because upstreams crashed while serving it. */
  QUARANTINED(
      503,
      "Each upstream that began to run this request ended. It was not run now, and repeating it"
          + " does not help.\n"),
  /**
   * A part of the prompt is quarantined because upstreams crashed on different requests with it.
   */
  PROMPT_PART_QUARANTINED(
      503,
      "Each upstream that began to answer a request with part %s in its prompt ended. This request"
          + " was not run, and repeating it with this part does not help.\n"),
  /** The request timed out before it was sent. */
  LATE_NOT_RUN(503, true),
  /** The request timed out after it was sent. */
  LATE(504, false),
  /** The connection to the upstream was lost; the request may have run. */
  BROKEN(502, false);

  private final int status;
  private final boolean notRun;
  private final String explanation;

  Refusal(int status, boolean notRun) {
    this(status, notRun, "");
  }

  /** Creates a refusal that guarantees that the request has not run and explains why. */
  Refusal(int status, String explanation) {
    this(status, true, explanation);
  }

  Refusal(int status, boolean notRun, String explanation) {
    this.status = status;
    this.notRun = notRun;
    this.explanation = explanation;
  }

  /** Returns the HTTP status code. */
  public int status() {
    return status;
  }

  /**
   * Returns whether the answer guarantees that the request has not run, so that a retry is safe.
   */
  public boolean notRun() {
    return notRun;
  }

  /**
   * Returns the text of the answer; empty if the status code suffices.
   *
   * @param subject what is refused, where the text names it
   */
  public String explanation(String subject) {
    return explanation.replace("%s", subject);
  }
}
