package org.gradeledge.upstream;

/**
 * Names of the HTTP headers between boxes and upstreams.
 *
 * @since 0.1
 */
public abstract class UpstreamHeaders {

  /** Id of the request; returned in the response. */
  public static final String REQUEST_ID = "Gradeledge-Request-Id";

  /** Name of the stage; returned in the response. */
  public static final String STAGE = "Gradeledge-Stage";

  /** Number of the attempt; returned in the response. */
  public static final String ATTEMPT = "Gradeledge-Attempt";

  /** Milliseconds until the deadline of the request. */
  public static final String TIME_LEFT = "Gradeledge-Time-Left-Ms";

  /** In an error response: {@code not-run} if the call did not run. */
  public static final String VERDICT = "Gradeledge-Verdict";

  /** In a response: {@code true} if the upstream accepts no new requests. */
  public static final String LEAVING = "Gradeledge-Leaving";

  /** Offset of the last token received, as defined for server-sent events in the HTML standard. */
  public static final String LAST_EVENT_ID = "Last-Event-ID";

  private UpstreamHeaders() {}
}
