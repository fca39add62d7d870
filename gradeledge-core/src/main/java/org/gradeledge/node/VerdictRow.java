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
 * @param incarnationIds the upstreams that ended under it
 * @param quarantinedAtMillis when the verdict was reached
 */
record VerdictRow(
    RequestFingerprint fingerprint, List<String> incarnationIds, long quarantinedAtMillis) {

  private static final String INCARNATIONS_FIELD = "ended";
  private static final String TIME_FIELD = "since";
  private static final String TRIAL_INFIX = "/trial-";

  /** Returns the key of a trial of a request; they are counted from 1. */
  static String trialKey(RequestFingerprint fingerprint, int number) {
    return fingerprint + TRIAL_INFIX + number;
  }

  /** Returns whose trial a key names, empty where it names none. */
  static Optional<RequestFingerprint> fingerprintOfTrial(String key) {
    int end = key.indexOf(TRIAL_INFIX);
    return end < 0 ? Optional.empty() : RequestFingerprint.parse(key.substring(0, end));
  }

  /** Reads a row, or tells what is wrong with it. */
  static Either<String, VerdictRow> read(TableRow row) {
    return Try.of(() -> parse(row.key(), JsonTrees.read(row.value())))
        .toEither()
        .mapLeft(String::valueOf);
  }

  private static VerdictRow parse(String key, JsonNode value) {
    RequestFingerprint fingerprint =
        RequestFingerprint.parse(key)
            .orElseThrow(() -> new IllegalArgumentException("the key is no fingerprint"));
    if (!value.path(INCARNATIONS_FIELD).isArray() || !value.path(TIME_FIELD).isIntegralNumber()) {
      throw new IllegalArgumentException(
          "/" + INCARNATIONS_FIELD + " and /" + TIME_FIELD + " must be given");
    }
    List<String> starts = new ArrayList<>();
    value.path(INCARNATIONS_FIELD).forEach(start -> starts.add(start.asText()));
    return new VerdictRow(fingerprint, starts, value.path(TIME_FIELD).asLong());
  }

  TableRow toTableRow() {
    ObjectNode value = JsonTrees.newObject();
    ArrayNode ended = value.putArray(INCARNATIONS_FIELD);
    incarnationIds.forEach(ended::add);
    value.put(TIME_FIELD, quarantinedAtMillis);
    return new TableRow(fingerprint.toString(), JsonTrees.write(value));
  }

  /** Returns what the row tells, at a time of day. */
  SuspectReport toReport(long nowMillis) {
    long age = Math.max(0, nowMillis - quarantinedAtMillis);
    List<CrashReport> ends =
        incarnationIds.stream().map(start -> new CrashReport(start, age, false)).toList();
    return new SuspectReport(fingerprint, ends, true);
  }
}
