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
 * Takes a submission from its file to its verdict: stage, prepare on every member, accept or refuse
 * in one transaction, install everywhere.
 *
 * <p>A write whose answer is lost is never made again blindly; the submission's row is read back.
 * Where the verdict cannot be told, the answer is {@link SubmissionState#UNKNOWN} and another box
 * settles what stays staged. Thread-safe.
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
      ParticipantClient preparation,
      ConfigurationRegistry registry,
      BoxMetrics metrics,
      Duration doubtBound) {
    this.store = store;
    this.membership = membership;
    this.participants = preparation;
    this.registry = registry;
    this.metrics = metrics;
    this.installTimeout = doubtBound;
  }

  /** Submits a file; never fails, since every outcome has its state. */
  public Mono<SubmissionResult> submit(Submission submission) {
    return store
        .find(submission.id())
        .flatMap(
            known ->
                known
                    .map(record -> Mono.just(resultOfRepeatedSubmission(submission, record)))
                    .orElseGet(() -> stage(submission)))
        .onErrorResume(PlatformException.class, e -> Mono.just(storeUnavailable(submission)))
        .doOnNext(
            result -> metrics.change(submission.pipeline(), result.record().state().wireName()));
  }

  /** Returns where a submission stands, if the table has heard of it. */
  public Mono<Optional<SubmissionRecord>> find(String submissionId) {
    return store.find(submissionId);
  }

  private static SubmissionResult resultOfRepeatedSubmission(
      Submission submission, SubmissionRecord record) {
    boolean same =
        record.digest().equals(submission.digest())
            && record.baseVersion() == submission.baseVersion();
    return SubmissionResult.of(
        same
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
              Optional<StagedHead> other = heads.stagedOf(submission.pipeline());
              if (other.isPresent()) {
                return refuseUnstaged(
                    submission,
                    RefusalCause.LOST_RACE,
                    "submission " + other.get().record().id() + " was first");
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

  /** The stage's own answer was lost: go on where the row is there, give up where it is not. */
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
      Submission submission, SubmissionRecord record, long stagedRevision, int tries) {
    return membership
        .read()
        .flatMap(
            members ->
                participants
                    .prepare(submission, members)
                    .flatMap(
                        missing ->
                            missing.isEmpty()
                                ? accept(submission, record, stagedRevision, members, tries)
                                : refuse(
                                    submission,
                                    record,
                                    stagedRevision,
                                    String.join("; ", missing))));
  }

  private Mono<SubmissionResult> accept(
      Submission submission,
      SubmissionRecord record,
      long stagedRevision,
      MemberSet members,
      int tries) {
    return store
        .accept(record, stagedRevision, members)
        .flatMap(
            result -> {
              if (result.committed()) {
                return install(submission, record.accepted(), members);
              }
              boolean membersChanged = result.conflicts().equals(List.of(MemberSet.EPOCH_KEY));
              return membersChanged && tries > 1
                  ? prepareMembers(submission, record, stagedRevision, tries - 1)
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

  /** The verdict's own answer was lost, or somebody else gave it: the row tells. */
  private Mono<SubmissionResult> readBackVerdict(Submission submission, SubmissionRecord record) {
    return store
        .readBack(record.id())
        .flatMap(
            found -> {
              SubmissionRecord current = found.orElse(record);
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
   * The operator is told once every member has the version in force, or has been in doubt for so
   * long that it refuses requests until it has.
   */
  private Mono<SubmissionResult> install(
      Submission submission, SubmissionRecord accepted, MemberSet members) {
    registry.install(submission.proposed());
    Logger.info(
        "change accepted: pipeline={} version={} submission={} operator={}",
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
