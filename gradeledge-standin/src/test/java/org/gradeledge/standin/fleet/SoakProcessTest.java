package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Injects random faults into box processes and checks their guarantees; by default a short run with
 * a fixed seed. Properties: {@code soak.from}, {@code soak.to} (seeds), {@code soak.seconds},
 * {@code soak.boxes}, {@code soak.patience} (factor for time bounds), {@code soak.folder} (logs).
 */
class SoakProcessTest {

  private static final long DEFAULT_SEED = 20261202;

  /** Allows for other load on the machine. */
  private static final int DEFAULT_TIMEOUT_FACTOR = 5;

  @Test
  void keepsGuaranteesUnderRandomFaults() throws Exception {
    long from = Long.getLong("soak.from", DEFAULT_SEED);
    long to = Long.getLong("soak.to", from);
    Map<Long, List<String>> violationsBySeed = new LinkedHashMap<>();
    for (long seed : LongStream.rangeClosed(from, to).toArray()) {
      List<String> violations = runSeed(seed);
      if (!violations.isEmpty()) {
        violationsBySeed.put(seed, violations);
      }
    }

    assertThat(violationsBySeed).isEmpty();
  }

  private static List<String> runSeed(long seed) throws Exception {
    Path folder = createFolder(seed);
    Duration duration = Duration.ofSeconds(Long.getLong("soak.seconds", 6));
    int timeoutFactor = Integer.getInteger("soak.patience", DEFAULT_TIMEOUT_FACTOR);
    int boxes = Integer.getInteger("soak.boxes", 3);
    try (SoakRun run = new SoakRun(seed, duration, boxes, timeoutFactor, folder)) {
      List<String> violations = run.execute();
      System.out.printf(
          "soak seed=%d boxes=%d seconds=%d calls=%d %s %s logs=%s%n",
          seed,
          boxes,
          duration.toSeconds(),
          run.callers().calls().size(),
          run.counts(),
          violations.isEmpty() ? "kept" : "BROKEN " + violations.get(0),
          folder);
      Files.write(folder.resolve("result.txt"), violations);
      return violations;
    }
  }

  private static Path createFolder(long seed) throws IOException {
    String configured = System.getProperty("soak.folder", "");
    return configured.isEmpty()
        ? Files.createTempDirectory("soak-" + seed + "-")
        : Files.createDirectories(Path.of(configured, "seed-" + seed));
  }
}
