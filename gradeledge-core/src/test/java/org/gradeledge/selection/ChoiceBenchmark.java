package org.gradeledge.selection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.time.MonotonicClock;
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
 * Time of the choice of an upstream for one request, and of taking in what one other box tells of
 * its load. Not a test: {@code scripts/choice-benchmark.sh} runs it.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class ChoiceBenchmark {

  /** Boxes and upstreams of the deployments of today and of the grown ones. */
  @Param({"8x13", "74x63"})
  public String size;

  private final Random random = new Random(1);
  private UpstreamLoads loads;
  private UpstreamChooser chooser;
  private List<UpstreamRecord> upstreams;
  private Map<String, BoxLoad> peerLoads;
  private int boxCount;

  /** Creates upstreams and what all boxes have told of their load. */
  @Setup(Level.Trial)
  public void setUp() {
    String[] parts = size.split("x");
    boxCount = Integer.parseInt(parts[0]);
    loads = new UpstreamLoads(MonotonicClock.system(), EventLogs.silent());
    upstreams =
        IntStream.range(0, Integer.parseInt(parts[1])).mapToObj(ChoiceBenchmark::upstream).toList();
    peerLoads = new HashMap<>();
    upstreams.forEach(each -> peerLoads.put(each.id(), new BoxLoad(2, 9_000)));
    IntStream.range(0, boxCount).forEach(box -> loads.setPeerLoads("box-" + box, peerLoads));
    chooser =
        new PrefixAffinityChooser(
            loads, new LeastLoadedChooser(loads, new Random(2)), upstream -> 250_000);
  }

  private static UpstreamRecord upstream(int number) {
    return new UpstreamRecord(
        "i-" + number, "service", "10.0.0." + number, 80, "zone-" + number % 4, 32, false);
  }

  /** Chooses for a request that shares a part of its prompt with others. */
  @Benchmark
  public Optional<UpstreamRecord> chooseBySharedPrompt() {
    Optional<String> key = Optional.of("part-" + random.nextInt(1_000));
    return chooser.choose(upstreams, new Demand(key, 6_300, 9_190, "zone-1", 0));
  }

  /** Chooses for a request that shares nothing. */
  @Benchmark
  public Optional<UpstreamRecord> chooseByLoad() {
    return chooser.choose(upstreams, new Demand(Optional.empty(), 0, 1_000, "zone-1", 0));
  }

  /** Takes in what one other box tells. */
  @Benchmark
  public void updateLoadOfOnePeer() {
    loads.setPeerLoads("box-" + random.nextInt(boxCount), peerLoads);
  }
}
