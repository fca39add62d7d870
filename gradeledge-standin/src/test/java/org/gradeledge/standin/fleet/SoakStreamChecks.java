package org.gradeledge.standin.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/** Checks guarantees on the streams of soak callers; returns violations. */
final class SoakStreamChecks {

  /** With fewer resumptions a share says little. */
  private static final int MIN_RESUMPTIONS = 12;

  private static final double MIN_SHARE_OF_BEGINNINGS = 0.5;

  private SoakStreamChecks() {}

  /** Checks that no stream has events of two software versions. */
  static List<String> checkVersions(Collection<SoakStream> streams) {
    return streams.stream()
        .filter(stream -> stream.versions().size() > 1)
        .map(stream -> "a stream has events of " + stream.versions())
        .toList();
  }

  /** Checks that no answer ends in order before the last event of its stream. */
  static List<String> checkComplete(Collection<SoakStream> streams) {
    return streams.stream()
        .filter(SoakStream::endedIncomplete)
        .map(stream -> "a stream of " + stream.versions() + " ended in order before its last event")
        .toList();
  }

  /**
   * Checks that resumed streams go on at least half as often as new ones begin, while two engines
   * of their version serve.
   */
  static List<String> checkResumptions(Collection<SoakStream> streams) {
    List<SoakStream.Attempt> resumptions =
        attempts(streams, attempt -> attempt.resumption() && attempt.counted());
    List<SoakStream.Attempt> beginnings = attempts(streams, attempt -> !attempt.resumption());
    if (resumptions.size() < MIN_RESUMPTIONS
        || share(resumptions) >= share(beginnings) * MIN_SHARE_OF_BEGINNINGS) {
      return List.of();
    }
    return List.of("streams go on: " + describe(streams));
  }

  /** Returns the shares of attempts that brought events, for the line of a run. */
  static String describe(Collection<SoakStream> streams) {
    List<SoakStream.Attempt> resumptions =
        attempts(streams, attempt -> attempt.resumption() && attempt.counted());
    List<SoakStream.Attempt> beginnings = attempts(streams, attempt -> !attempt.resumption());
    return String.format(
        "resumed=%d/%d begun=%d/%d",
        progressed(resumptions), resumptions.size(), progressed(beginnings), beginnings.size());
  }

  private static double share(List<SoakStream.Attempt> attempts) {
    return attempts.isEmpty() ? 0 : (double) progressed(attempts) / attempts.size();
  }

  private static long progressed(List<SoakStream.Attempt> attempts) {
    return attempts.stream().filter(SoakStream.Attempt::progressed).count();
  }

  private static List<SoakStream.Attempt> attempts(
      Collection<SoakStream> streams, Predicate<SoakStream.Attempt> selected) {
    List<SoakStream.Attempt> attempts = new ArrayList<>();
    streams.forEach(stream -> attempts.addAll(stream.attempts()));
    return attempts.stream().filter(selected).toList();
  }
}
