package org.gradeledge.batch;

import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.gradeledge.deployment.Urgency;
import org.gradeledge.event.EventLog;

/**
 * Accounts for each priority's use of the upstreams of one service. Writes a line for each second
 * in which pieces waited or were refused. Confined to the event loop.
 */
final class PriorityUsage {

  private static final long REPORT_INTERVAL_NANOS = 1_000_000_000L;
  private static final double PERCENT = 100;

  private final String service;
  private final BatchContext context;
  private final Map<PieceOutcome, long[]> pieces = new EnumMap<>(PieceOutcome.class);
  private final Set<String> calledUpstreams = new HashSet<>();
  private final UnusedCapacity unused = new UnusedCapacity();
  private final double[] upstreamMillis = new double[Urgency.LEVELS];
  private long reportedNanos;
  private boolean contended;

  PriorityUsage(String service, BatchContext context) {
    this.service = service;
    this.context = context;
    this.reportedNanos = context.clock().nanos();
    reset();
  }

  /** Records a call that was answered, whose time is shared by its pieces. */
  void recordCall(BatchCall call, double millis) {
    List<StagePiece> computed = call.pieces();
    calledUpstreams.add(call.target().upstream().id());
    double millisPerPiece = millis / computed.size();
    for (StagePiece piece : computed) {
      int level = level(piece.group());
      upstreamMillis[level] += millisPerPiece;
      pieces.get(PieceOutcome.COMPUTED)[level]++;
      context.meter().recordPieces(service, level, PieceOutcome.COMPUTED, 1);
      context.meter().recordUpstreamTime(service, level, millisPerPiece);
    }
  }

  /** Records the upstreams that are idle from now on although pieces wait. */
  void recordIdle(Collection<UnusedCause> idleUpstreams) {
    unused.recordIdle(idleUpstreams, context.clock().nanos());
  }

  /** Records the places of a call that were left free although pieces wait. */
  void recordUnfilled(UnusedCause cause, int places) {
    unused.recordUnfilled(cause, places);
  }

  /** Records a group that was refused or waited too long. */
  void recordUnserved(GroupInProgress group, PieceOutcome outcome) {
    int level = level(group);
    int count = group.group().pieces();
    pieces.get(outcome)[level] += count;
    context.meter().recordPieces(service, level, outcome, count);
    contended = true;
  }

  /** Writes the line of the last second if it is due and there was contention. */
  void report(WaitingPieces waiting, BatchUpstreams upstreams) {
    contended |= !waiting.isEmpty();
    long now = context.clock().nanos();
    if (now - reportedNanos < REPORT_INTERVAL_NANOS) {
      return;
    }
    if (contended) {
      write(waiting, upstreams, (now - reportedNanos) / 1_000_000);
    }
    reportedNanos = now;
    reset();
  }

  private void write(WaitingPieces waiting, BatchUpstreams upstreams, long millis) {
    EventLog.Event event =
        context.events().step("stage-usage").with("service", service).with("in-ms", millis);
    pieces.forEach((outcome, counts) -> event.with(outcome.label(), text(counts)));
    event
        .with("upstream-ms", text(Arrays.stream(upstreamMillis).mapToLong(Math::round).toArray()))
        .with("waiting", text(waiting.countByPriority()))
        .with("upstreams", upstreams.usableCount())
        .with("called", calledUpstreams.size())
        .with("idle-ms", unused.idleText())
        .with("unfilled", unused.unfilledText())
        .with("slowest-percent", Math.round(upstreams.highestSlowdown() * PERCENT))
        .write();
  }

  private void reset() {
    contended = false;
    calledUpstreams.clear();
    unused.reset();
    Arrays.fill(upstreamMillis, 0);
    for (PieceOutcome outcome : PieceOutcome.values()) {
      pieces.put(outcome, new long[Urgency.LEVELS]);
    }
  }

  /** Returns the figures of all priorities up to the last one that has any. */
  private static String text(long[] byPriority) {
    int levels = byPriority.length;
    while (levels > 1 && byPriority[levels - 1] == 0) {
      levels--;
    }
    return Arrays.stream(byPriority, 0, levels)
        .mapToObj(Long::toString)
        .collect(Collectors.joining(","));
  }

  private static int level(GroupInProgress group) {
    return PendingPieces.level(group.group().priority());
  }
}
