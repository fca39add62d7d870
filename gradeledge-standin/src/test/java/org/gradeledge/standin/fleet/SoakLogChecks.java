package org.gradeledge.standin.fleet;

import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Checks guarantees on the log lines of boxes; returns violations. */
final class SoakLogChecks {

  private static final String CUT_STREAM = "\"end\":\"cut\"";

  /** What justifies that a box ends a stream: its upstream, its connection, or its time. */
  private static final Pattern REASON =
      Pattern.compile("BROKEN|GARBLED|not-run:|status-|connection lost|time is up");

  private SoakLogChecks() {}

  /** Checks that no box ended a begun stream because its upstream was silent. */
  static List<String> checkCutStreams(Stream<String> lines) {
    return lines
        .filter(line -> line.contains(CUT_STREAM) && !REASON.matcher(line).find())
        .map(line -> "a box cut a stream without a reason: " + line)
        .toList();
  }
}
