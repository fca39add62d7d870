package org.gradeledge.batch;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time to assemble a call and to count the pieces ahead of a group. Run with {@code
 * scripts/choice-benchmark.sh FillBenchmark}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class FillBenchmark {

  private static final int PIECES_PER_GROUP = 6;
  private static final int MAX_PIECES = 66;
  private static final double CALL_MILLIS = 200;

  /** Number of waiting groups. */
  @Param({"40", "300"})
  public int groups;

  private final GuaranteedShares guarantees = new GuaranteedShares(() -> 0);
  private WaitingPieces waiting;
  private GroupInProgress last;

  /** Fills the queue with groups of different priorities. */
  @Setup(Level.Trial)
  public void fill() {
    Random random = new Random(1);
    waiting = new WaitingPieces();
    for (int i = 0; i < groups; i++) {
      last = group("r" + i, random.nextInt(3), 500 + random.nextInt(2_000));
      waiting.add(last);
    }
  }

  private static GroupInProgress group(String request, int priority, long dueMillis) {
    StageGroup group = StageGroups.due(request, PIECES_PER_GROUP, priority, dueMillis, true);
    return new GroupInProgress(group, "", "box", 0, result -> {});
  }

  /** Sorts the queue, takes the pieces of one call and adds them again. */
  @Benchmark
  public List<StagePiece> sortAndTake() {
    waiting.sort(CALL_MILLIS, guarantees, 0);
    List<StagePiece> taken = waiting.takeBatch(MAX_PIECES, Long.MAX_VALUE, group -> true);
    waiting.addAll(taken);
    return taken;
  }

  /** Counts the pieces ahead of a group. */
  @Benchmark
  public long countAheadOfGroup() {
    return waiting.countAhead(last, CALL_MILLIS, 0);
  }
}
