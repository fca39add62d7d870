package org.gradeledge.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.gradeledge.discovery.ZoneEvacuations;
import org.gradeledge.limit.LimitReport;
import org.gradeledge.selection.BoxLoad;

/** Creates random parts of messages between boxes. */
final class RandomMessages {

  private RandomMessages() {}

  static Heartbeat heartbeat(Random random) {
    Map<String, BoxLoad> shares = new HashMap<>();
    Map<String, List<Long>> numbers = new HashMap<>();
    for (int index = random.nextInt(4); index > 0; index--) {
      shares.put(text(random), new BoxLoad(random.nextInt(300), number(random)));
      numbers.put(text(random), List.of(number(random), number(random)));
    }
    return new Heartbeat(
        text(random),
        random.nextBoolean(),
        random.nextBoolean(),
        random.nextInt(400),
        number(random),
        number(random),
        texts(random),
        shares,
        numbers,
        Map.of("encode", List.of(number(random))),
        new ZoneEvacuations(number(random), Set.of(text(random))),
        number(random),
        random.nextInt(3),
        number(random),
        limits(random),
        texts(random));
  }

  static List<LimitReport> limits(Random random) {
    List<LimitReport> limits = new ArrayList<>();
    for (int index = random.nextInt(4); index > 0; index--) {
      limits.add(new LimitReport(text(random), number(random), number(random)));
    }
    return limits;
  }

  static long number(Random random) {
    return random.nextLong() >> random.nextInt(63);
  }

  static String text(Random random) {
    return "hồ-".repeat(random.nextInt(12)) + Integer.toHexString(random.nextInt(1 << 20));
  }

  static List<String> texts(Random random) {
    List<String> texts = new ArrayList<>();
    for (int index = random.nextInt(40); index > 0; index--) {
      texts.add(text(random));
    }
    return texts;
  }
}
