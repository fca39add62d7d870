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
 * Randomized faults on real boxes; a short seeded run by default. Properties: {@code soak.from},
 * {@code soak.to} (seeds), {@code soak.seconds}, {@code soak.boxes}, {@code soak.patience} (factor
 * of the bounds of time), {@code soak.folder} (logs).
 */
class SoakProcessTest {

  private static final long DEFAULT_SEED = 20261202;

  /** Where the machine may do anything else besides, bounds of time say little. */
  private static final int DEFAULT_TIMEOUT_FACTOR = 5;

  @Test
  void keepsGuaranteesUnderRandomFaults() throws Exception {
    long from = Long.getLong("soak.from", DEFAULT_SEED);
    long to = Long.getLong("soak.to", from);
    Map<Long, List<String>> broken = new LinkedHashMap<>();
    for (long seed : LongStream.rangeClosed(from, to).toArray()) {
      List<String> found = runSeed(seed);
      if (!found.isEmpty()) {
        broken.put(seed, found);
      }
    }

    assertThat(broken).isEmpty();
  }

  private static List<String> runSeed(long seed) throws Exception {
    Path folder = createFolder(seed);
    Duration length = Duration.ofSeconds(Long.getLong("soak.seconds", 6));
    int patience = Integer.getInteger("soak.patience", DEFAULT_TIMEOUT_FACTOR);
    int boxes = Integer.getInteger("soak.boxes", 3);
    try (SoakRun run = new SoakRun(seed, length, boxes, patience, folder)) {
      List<String> found = run.execute();
      System.out.printf(
          "soak seed=%d boxes=%d seconds=%d calls=%d %s logs=%s%n",
          seed,
          boxes,
          length.toSeconds(),
          run.callCount(),
          found.isEmpty() ? "kept" : "BROKEN " + found.get(0),
          folder);
      Files.write(folder.resolve("result.txt"), found);
      return found;
    }
  }

  private static Path createFolder(long seed) throws IOException {
    String given = System.getProperty("soak.folder", "");
    return given.isEmpty()
        ? Files.createTempDirectory("soak-" + seed + "-")
        : Files.createDirectories(Path.of(given, "seed-" + seed));
  }
}
