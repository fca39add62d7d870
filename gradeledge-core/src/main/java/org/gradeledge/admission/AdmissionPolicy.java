package org.gradeledge.admission;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import org.gradeledge.configuration.StageDefinition;

/**
 * The admission policies that can be configured in the settings.
 *
 * @since 0.1
 */
public enum AdmissionPolicy {
  /** Refuses requests that cannot meet their deadline and limits the concurrency of each stage. */
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
  /** Admits all requests immediately. */
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

  /** Returns the policy with the given name in the settings. */
  public static AdmissionPolicy ofWireName(String name) {
    return Arrays.stream(values())
        .filter(policy -> policy.wireName().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown admission policy: " + name));
  }

  /** Returns the name of the policy in the settings. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the maximum number of calls of a stage in flight on this box. */
  abstract int limit(StageDefinition stage);

  /** Returns the duration that admission assumes, given an estimate from recent calls. */
  abstract Duration expectedDuration(Duration estimate);
}
