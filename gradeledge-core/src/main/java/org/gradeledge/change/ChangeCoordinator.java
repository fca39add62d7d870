package org.gradeledge.change;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.membership.MemberSet;
import org.gradeledge.membership.MembershipService;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.platform.CommitResult;
import org.gradeledge.platform.PlatformException;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;

/**
 * Coordinates the two-phase commit of a submission: stages it, prepares it on every member, accepts
 * or refuses it in one transaction, and installs an accepted version on the members.
 *
 * <p>If the response to a write is lost, the submission's row is read back instead of repeating the
 * write. If the verdict cannot be determined, the result is {@link SubmissionState#UNKNOWN} and
 * another box refuses the submission if it stays staged. Thread-safe.
 *
 * @since 0.1
 */
public final class ChangeCoordinator {

  private static final int MAX_ACCEPT_ATTEMPTS = 5;

  private final SubmissionStore store;
  private final MembershipService membership;
  private final ParticipantClient participants;
  private final ConfigurationRegistry registry;
  private final BoxMetrics metrics;
  private final Duration installTimeout;

  ChangeCoordinator(
      SubmissionStore store,
      MembershipService membership,
      ParticipantClient participants,
      ConfigurationRegistry registry,
      BoxMetrics metrics,
      Duration installTimeout) {
    this.store = store;
    this.membership = membership;
    this.participants = participants;
    this.registry = registry;
    this.metrics = metrics;
    this.installTimeout = installTimeout;
  }

  /** Submits a file; reports every outcome, including failures, in the result. */
  public Mono<SubmissionResult> submit(Submission submission) {
    return store
        .find(submission.id())
        .flatMap(
            existing ->
                existing
                    .map(record -> Mono.just(resultOfRepeatedSubmission(submission, record)))
                    .orElseGet(() -> stage(submission)))
        .onErrorResume(PlatformException.class, e -> Mono.just(storeUnavailable(submission)))
        .doOnNext(
            result -> metrics.change(submission.pipeline(), result.record().state().wireName()));
  }

  /** Returns the record of a submission, or empty if the table has none. */
  public Mono<Optional<SubmissionRecord>> find(String submissionId) {
    return store.find(submissionId);
  }

  private static SubmissionResult resultOfRepeatedSubmission(
      Submission submission, SubmissionRecord record) {
    boolean sameContent =
        record.digest().equals(submission.digest())
            && record.baseVersion() == submission.baseVersion();
    return SubmissionResult.of(
        sameContent
            ? record
            : SubmissionRecord.staged(submission)
                .refused(RefusalCause.LOST_RACE, "the submission id was used for another file"));
  }

  private static SubmissionResult storeUnavailable(Submission submission) {
    return SubmissionResult.of(
        SubmissionRecord.staged(submission)
            .refused(RefusalCause.STORE_UNAVAILABLE, "nothing was staged"));
  }

  private Mono<SubmissionResult> stage(Submission submission) {
    return store
        .heads(submission.pipeline())
        .flatMap(
            heads -> {
              long current =
                  heads.acceptedOf(submission.pipeline()).map(PipelineHead::version).orElse(0L);
              if (current != submission.baseVersion()) {
                return refuseUnstaged(
                    submission, RefusalCause.STALE_BASE, "the version in force is " + current);
              }
              Optional<StagedHead> stagedHead = heads.stagedOf(submission.pipeline());
              if (stagedHead.isPresent()) {
                return refuseUnstaged(
                    submission,
                    RefusalCause.LOST_RACE,
                    "submission " + stagedHead.get().record().id() + " was first");
              }
              return store.storeText(submission).then(commitStage(submission, heads));
            });
  }

  private Mono<SubmissionResult> commitStage(Submission submission, ChangeHeads heads) {
    SubmissionRecord record = SubmissionRecord.staged(submission);
    return store
        .stage(submission, heads)
        .flatMap(
            result ->
                result.committed()
                    ? prepareAndSettle(submission, record, result.revision())
                    : refuseUnstaged(
                        submission, RefusalCause.LOST_RACE, "another submission was first"))
        .onErrorResume(PlatformException.class, e -> readBackStaged(submission, record));
  }

  /** Continues if the staged row exists after the response to the staging write was lost. */
  private Mono<SubmissionResult> readBackStaged(Submission submission, SubmissionRecord record) {
    return store
        .stagedRevision(record)
        .flatMap(
            revision ->
                revision == 0
                    ? Mono.just(unknown(record, "the table did not say whether it was staged"))
                    : prepareAndSettle(submission, record, revision))
        .onErrorResume(
            PlatformException.class, e -> Mono.just(unknown(record, "the table is away")));
  }

  private Mono<SubmissionResult> refuseUnstaged(
      Submission submission, RefusalCause cause, String detail) {
    SubmissionRecord refused = SubmissionRecord.staged(submission).refused(cause, detail);
    return store
        .refuseUnstaged(refused)
        .flatMap(
            result ->
                result.committed()
                    ? Mono.just(SubmissionResult.of(refused))
                    : readBackVerdict(submission, SubmissionRecord.staged(submission)));
  }

  private Mono<SubmissionResult> prepareAndSettle(
      Submission submission, SubmissionRecord record, long stagedRevision) {
    return prepareMembers(submission, record, stagedRevision, MAX_ACCEPT_ATTEMPTS)
        .onErrorResume(PlatformException.class, e -> readBackVerdict(submission, record));
  }

  private Mono<SubmissionResult> prepareMembers(
      Submission submission, SubmissionRecord record, long stagedRevision, int attemptsLeft) {
    return membership
        .read()
        .flatMap(
            members ->
                participants
                    .prepare(submission, members)
                    .flatMap(
                        failures ->
                            failures.isEmpty()
                                ? accept(submission, record, stagedRevision, members, attemptsLeft)
                                : refuse(
                                    submission,
                                    record,
                                    stagedRevision,
                                    String.join("; ", failures))));
  }

  private Mono<SubmissionResult> accept(
      Submission submission,
      SubmissionRecord record,
      long stagedRevision,
      MemberSet members,
      int attemptsLeft) {
    return store
        .accept(record, stagedRevision, members)
        .flatMap(
            result -> {
              if (result.committed()) {
                return install(submission, record.accepted(), members);
              }
              boolean membersChanged = result.conflicts().equals(List.of(MemberSet.EPOCH_KEY));
              return membersChanged && attemptsLeft > 1
                  ? prepareMembers(submission, record, stagedRevision, attemptsLeft - 1)
                  : readBackVerdict(submission, record);
            });
  }

  private Mono<SubmissionResult> refuse(
      Submission submission, SubmissionRecord record, long stagedRevision, String detail) {
    return store
        .refuseStaged(record, stagedRevision, RefusalCause.MEMBER_NOT_PREPARED, detail)
        .map(CommitResult::committed)
        .flatMap(
            committed -> {
              if (!committed) {
                return readBackVerdict(submission, record);
              }
              participants.withdraw(submission);
              return Mono.just(
                  SubmissionResult.of(record.refused(RefusalCause.MEMBER_NOT_PREPARED, detail)));
            });
  }

  /** Reads the verdict after its write failed, got no response or conflicted with another one. */
  private Mono<SubmissionResult> readBackVerdict(Submission submission, SubmissionRecord record) {
    return store
        .readBack(record.id())
        .flatMap(
            stored -> {
              SubmissionRecord current = stored.orElse(record);
              return switch (current.state()) {
                case ACCEPTED ->
                    membership.read().flatMap(members -> install(submission, current, members));
                case REFUSED -> {
                  participants.withdraw(submission);
                  yield Mono.just(SubmissionResult.of(current));
                }
                default -> Mono.just(unknown(record, "the verdict was not written in time"));
              };
            })
        .onErrorResume(e -> Mono.just(unknown(record, "the table is away")));
  }

  /**
   * Completes once every member has installed the version, or after the timeout, when members that
   * have not installed it refuse requests of the pipeline until they do.
   */
  private Mono<SubmissionResult> install(
      Submission submission, SubmissionRecord accepted, MemberSet members) {
    registry.install(submission.proposed());
    Logger.info(
        "accepted change: pipeline={} version={} submission={} operator={}",
        accepted.pipeline(),
        accepted.version(),
        accepted.id(),
        accepted.operator());
    return participants
        .install(accepted, members, installTimeout)
        .map(boxes -> new SubmissionResult(accepted, boxes, List.of()));
  }

  private static SubmissionResult unknown(SubmissionRecord record, String detail) {
    return SubmissionResult.of(record.unknown(detail));
  }
}
