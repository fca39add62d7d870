package org.gradeledge.batch;

/**
 * Counts stage work by service and priority.
 *
 * @since 0.3
 */
public interface StageMeter {

  /** Counts nothing. */
  StageMeter NONE =
      new StageMeter() {
        @Override
        public void recordPieces(String service, int priority, PieceOutcome outcome, int pieces) {}

        @Override
        public void recordUpstreamTime(String service, int priority, double millis) {}
      };

  /** Counts pieces that are no longer waiting. */
  void recordPieces(String service, int priority, PieceOutcome outcome, int pieces);

  /** Adds to the time in milliseconds that upstreams have worked on pieces. */
  void recordUpstreamTime(String service, int priority, double millis);
}
