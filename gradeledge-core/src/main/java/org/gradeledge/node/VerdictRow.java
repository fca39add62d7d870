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
 * Table row of a quarantined request. The key is the fingerprint. The value contains the upstreams
 * that crashed while serving the request and the time of the verdict. Trials are separate rows, so
 * that only one box can create each.
 *
 * @param fingerprint fingerprint of the request
 * @param incarnationIds upstreams that crashed while serving the request
 * @param quarantinedAtMillis time of the verdict in milliseconds since 1970
 */
record VerdictRow(
    RequestFingerprint fingerprint, List<String> incarnationIds, long quarantinedAtMillis) {

  private static final String INCARNATIONS_FIELD = "ended";
  private static final String TIME_FIELD = "since";
  private static final String TRIAL_INFIX = "/trial-";

  /** Returns the key of a trial of a request; the first trial has number 1. */
  static String trialKey(RequestFingerprint fingerprint, int number) {
    return fingerprint + TRIAL_INFIX + number;
  }

  /** Returns the fingerprint in the key of a trial, or empty for other keys. */
  static Optional<RequestFingerprint> fingerprintOfTrial(String key) {
    int end = key.indexOf(TRIAL_INFIX);
    return end < 0 ? Optional.empty() : RequestFingerprint.parse(key.substring(0, end));
  }

  /** Returns the content of a row, or the reason why it cannot be read. */
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
    List<String> ids = new ArrayList<>();
    value.path(INCARNATIONS_FIELD).forEach(id -> ids.add(id.asText()));
    return new VerdictRow(fingerprint, ids, value.path(TIME_FIELD).asLong());
  }

  TableRow toTableRow() {
    ObjectNode value = JsonTrees.newObject();
    ArrayNode ids = value.putArray(INCARNATIONS_FIELD);
    incarnationIds.forEach(ids::add);
    value.put(TIME_FIELD, quarantinedAtMillis);
    return new TableRow(fingerprint.toString(), JsonTrees.write(value));
  }

  /** Returns a suspect report with the content of the row. */
  SuspectReport toReport(long nowMillis) {
    long age = Math.max(0, nowMillis - quarantinedAtMillis);
    List<CrashReport> crashes =
        incarnationIds.stream().map(id -> new CrashReport(id, age, false)).toList();
    return new SuspectReport(fingerprint, crashes, true);
  }
}
