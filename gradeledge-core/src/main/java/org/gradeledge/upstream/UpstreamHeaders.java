package org.gradeledge.upstream;

/**
 * Header names between boxes and upstreams.
 *
 * @since 0.1
 */
public abstract class UpstreamHeaders {

  /** Request that a call belongs to; must come back. */
  public static final String REQUEST_ID = "Gradeledge-Request-Id";

  /** Stage that a call is of; must come back. */
  public static final String STAGE = "Gradeledge-Stage";

  /** Number of the attempt; must come back. */
  public static final String ATTEMPT = "Gradeledge-Attempt";

  /** Milliseconds left to the request's deadline. */
  public static final String TIME_LEFT = "Gradeledge-Time-Left-Ms";

  /** On a refusal: {@code not-run} where the call did not run. */
  public static final String VERDICT = "Gradeledge-Verdict";

  /** On an answer: {@code true} where the upstream is to be given no new work. */
  public static final String LEAVING = "Gradeledge-Leaving";

  /** Offset of the last token received, as in the HTML standard's server-sent events. */
  public static final String LAST_EVENT_ID = "Last-Event-ID";

  private UpstreamHeaders() {}
}
