package org.gradeledge.admission;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import org.gradeledge.configuration.StageDefinition;

/**
 * The ways of admission that settings can name.
 *
 * @since 0.1
 */
public enum AdmissionPolicy {
  /** Refuses what cannot meet its deadline; limits each stage. */
  DEADLINE {
    @Override
    int limit(StageDefinition stage) {
      return stage.concurrencyLimit();
    }

    @Override
    Duration expectedDuration(Duration estimate) {
      return estimate;
    }
  },
  /** Baseline: lets everything in at once. */
  NONE {
    @Override
    int limit(StageDefinition stage) {
      return Integer.MAX_VALUE;
    }

    @Override
    Duration expectedDuration(Duration estimate) {
      return Duration.ZERO;
    }
  };

  /** Returns the policy with the given name in settings. */
  public static AdmissionPolicy ofWireName(String name) {
    return Arrays.stream(values())
        .filter(policy -> policy.wireName().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown admission policy: " + name));
  }

  /** Returns the name used in settings. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns how many calls of a stage may be in progress on this box. */
  abstract int limit(StageDefinition stage);

  /** Returns the time to count on, given the estimate from recent calls. */
  abstract Duration expectedDuration(Duration estimate);
}
