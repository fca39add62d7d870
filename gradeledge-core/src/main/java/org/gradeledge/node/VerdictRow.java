package org.gradeledge.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gradeledge.document.JsonTrees;
import org.gradeledge.follow.TableRow;
import org.gradeledge.quarantine.CrashReport;
import org.gradeledge.quarantine.RequestFingerprint;
import org.gradeledge.quarantine.SuspectReport;

/**
 * A request that is held back, as its row keeps it. The key is the fingerprint; the value names the
 * upstreams that ended under it, and when the verdict was reached by the time of day, in
 * milliseconds since 1970. Trials are rows of their own, so that one box alone can create each.
 *
 * @param fingerprint which request
 * @param starts the upstreams that ended under it
 * @param sinceMillis when the verdict was reached
 */
record VerdictRow(RequestFingerprint fingerprint, List<String> starts, long sinceMillis) {

  private static final String ENDED = "ended";
  private static final String SINCE = "since";
  private static final String TRIAL = "/trial-";

  /** Returns the key of a trial of a request; they are counted from 1. */
  static String trialKey(RequestFingerprint fingerprint, int number) {
    return fingerprint + TRIAL + number;
  }

  /** Returns whose trial a key names, empty where it names none. */
  static Optional<RequestFingerprint> trialOf(String key) {
    int end = key.indexOf(TRIAL);
    return end < 0 ? Optional.empty() : RequestFingerprint.parse(key.substring(0, end));
  }

  /** Reads a row, or tells what is wrong with it. */
  static Either<String, VerdictRow> read(TableRow row) {
    return Try.of(() -> readTree(row.key(), JsonTrees.read(row.value())))
        .toEither()
        .mapLeft(String::valueOf);
  }

  private static VerdictRow readTree(String key, JsonNode value) {
    RequestFingerprint fingerprint =
        RequestFingerprint.parse(key)
            .orElseThrow(() -> new IllegalArgumentException("the key is no fingerprint"));
    if (!value.path(ENDED).isArray() || !value.path(SINCE).isIntegralNumber()) {
      throw new IllegalArgumentException("/" + ENDED + " and /" + SINCE + " must be given");
    }
    List<String> starts = new ArrayList<>();
    value.path(ENDED).forEach(start -> starts.add(start.asText()));
    return new VerdictRow(fingerprint, starts, value.path(SINCE).asLong());
  }

  TableRow write() {
    ObjectNode value = JsonTrees.newObject();
    ArrayNode ended = value.putArray(ENDED);
    starts.forEach(ended::add);
    value.put(SINCE, sinceMillis);
    return new TableRow(fingerprint.toString(), JsonTrees.write(value));
  }

  /** Returns what the row tells, at a time of day. */
  SuspectReport report(long nowMillis) {
    long age = Math.max(0, nowMillis - sinceMillis);
    List<CrashReport> ends =
        starts.stream().map(start -> new CrashReport(start, age, false)).toList();
    return new SuspectReport(fingerprint, ends, true);
  }
}
