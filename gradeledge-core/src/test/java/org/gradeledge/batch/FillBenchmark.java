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
 * Time to put the pieces of one call together, and to look how much waits before a group. Not a
 * test: {@code scripts/choice-benchmark.sh FillBenchmark} runs it.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class FillBenchmark {

  private static final int PIECES_OF_GROUP = 6;
  private static final int PLACES = 66;
  private static final double CALL_MILLIS = 200;

  /** Groups that wait: a burst at six boxes, and one at 61. */
  @Param({"40", "300"})
  public int groups;

  private WaitingPieces waiting;
  private GroupInProgress last;

  /** Lets groups of all priorities wait. */
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
    StageGroup group = StageGroups.due(request, PIECES_OF_GROUP, priority, dueMillis, true);
    return new GroupInProgress(group, "", "box", 0, result -> {});
  }

  /** Sorts what waits and takes the pieces of one call, which are put back. */
  @Benchmark
  public List<StagePiece> sortAndTake() {
    waiting.sort(CALL_MILLIS, 0);
    List<StagePiece> taken = waiting.takeBatch(PLACES, Long.MAX_VALUE, group -> true);
    waiting.addAll(taken);
    return taken;
  }

  /** Counts what goes before a group. */
  @Benchmark
  public long aheadOfAGroup() {
    return waiting.countAhead(last, CALL_MILLIS, 0);
  }
}
