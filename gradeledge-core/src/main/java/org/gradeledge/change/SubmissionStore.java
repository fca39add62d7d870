package org.gradeledge.change;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.gradeledge.membership.MemberSet;
import org.gradeledge.platform.CommitResult;
import org.gradeledge.platform.ObjectStore;
import org.gradeledge.platform.RowValues;
import org.gradeledge.platform.TableRow;
import org.gradeledge.platform.TableService;
import org.gradeledge.platform.TableTransaction;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Reads and writes the rows of submissions; every verdict is one transaction with its audit row.
 */
final class SubmissionStore {

  private static final int READ_BACK_RETRIES = 5;
  private static final Duration READ_BACK_INTERVAL = Duration.ofMillis(200);

  private final TableService table;
  private final ObjectStore objects;
  private final Clock wallClock;

  SubmissionStore(TableService table, ObjectStore objects, Clock wallClock) {
    this.table = table;
    this.objects = objects;
    this.wallClock = wallClock;
  }

  /** Returns the record of a submission, if there is one. */
  Mono<Optional<SubmissionRecord>> find(String id) {
    return table
        .read(List.of(SubmissionRecord.rowKey(id)))
        .map(
            rows ->
                rows.stream()
                    .filter(row -> row.key().equals(SubmissionRecord.rowKey(id)))
                    .map(row -> RowValues.decode(row, SubmissionRecord.class))
                    .findFirst());
  }

  /** As {@link #find}, trying again for a while; fails where the table stays away. */
  Mono<Optional<SubmissionRecord>> readBack(String id) {
    return find(id).retryWhen(Retry.fixedDelay(READ_BACK_RETRIES, READ_BACK_INTERVAL));
  }

  /** Returns the heads of one pipeline. */
  Mono<ChangeHeads> heads(String pipeline) {
    return table.read(ChangeHeads.rowPrefixes(pipeline)).map(ChangeHeads::of);
  }

  Mono<Void> storeText(Submission submission) {
    return objects.put(
        PipelineHead.objectKey(submission.pipeline(), submission.digest()), submission.text());
  }

  /** Stages a submission, conditional on the heads as read. */
  Mono<CommitResult> stage(Submission submission, ChangeHeads heads) {
    SubmissionRecord record = SubmissionRecord.staged(submission);
    String headKey = PipelineHead.rowKey(submission.pipeline());
    String stagedKey = StagedHead.rowKey(submission.pipeline());
    return table.commit(
        TableTransaction.builder()
            .require(headKey, heads.revision(headKey))
            .requireAbsent(stagedKey)
            .requireAbsent(record.rowKey())
            .put(stagedKey, RowValues.encode(new StagedHead(record)))
            .put(record.rowKey(), RowValues.encode(record))
            .build());
  }

  /** Accepts a staged submission, conditional on the members that prepared being all members. */
  Mono<CommitResult> accept(SubmissionRecord staged, long stagedRevision, MemberSet prepared) {
    SubmissionRecord record = staged.accepted();
    PipelineHead head =
        new PipelineHead(record.pipeline(), record.version(), record.id(), record.digest());
    return table.commit(
        settlementTransaction(record, stagedRevision)
            .require(MemberSet.EPOCH_KEY, prepared.revision())
            .put(PipelineHead.rowKey(record.pipeline()), RowValues.encode(head))
            .build());
  }

  /** Refuses a staged submission unless it was settled meanwhile. */
  Mono<CommitResult> refuseStaged(
      SubmissionRecord staged, long stagedRevision, RefusalCause cause, String detail) {
    return table.commit(
        settlementTransaction(staged.refused(cause, detail), stagedRevision).build());
  }

  /** Records the refusal of a submission that was never staged. */
  Mono<CommitResult> refuseUnstaged(SubmissionRecord refused) {
    return table.commit(
        withAuditEntry(TableTransaction.builder().requireAbsent(refused.rowKey()), refused)
            .build());
  }

  private TableTransaction.Builder settlementTransaction(
      SubmissionRecord settled, long stagedRevision) {
    String stagedKey = StagedHead.rowKey(settled.pipeline());
    return withAuditEntry(
        TableTransaction.builder().require(stagedKey, stagedRevision).delete(stagedKey), settled);
  }

  private TableTransaction.Builder withAuditEntry(
      TableTransaction.Builder transaction, SubmissionRecord record) {
    var entry = record.auditEntry(wallClock.millis());
    return transaction
        .put(record.rowKey(), RowValues.encode(record))
        .put(entry.rowKey(), RowValues.encode(entry));
  }

  /** Returns the revision of a submission's staged row, absent where it is not staged. */
  Mono<Long> stagedRevision(SubmissionRecord record) {
    return heads(record.pipeline())
        .map(
            heads ->
                heads
                    .stagedOf(record.pipeline())
                    .filter(staged -> staged.record().id().equals(record.id()))
                    .map(staged -> heads.revision(StagedHead.rowKey(record.pipeline())))
                    .orElse(TableRow.ABSENT));
  }
}
