package org.gradeledge.membership;

import java.time.Duration;
import org.gradeledge.platform.CommitResult;
import org.gradeledge.platform.PlatformException;
import org.gradeledge.platform.RowValues;
import org.gradeledge.platform.TableService;
import org.gradeledge.platform.TableTransaction;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Reads and writes the rows of the members: join, leave, mark for removal and remove.
 *
 * <p>Each change of the set also writes the row {@link MemberSet#EPOCH_KEY}, on whose revision the
 * acceptance of a configuration is conditional. Joining and leaving read the rows again before each
 * retry. Thread-safe.
 *
 * @since 0.1
 */
public final class MembershipService {

  private static final Duration MIN_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

  private final TableService table;

  /** Creates a service that uses the given table. */
  public MembershipService(TableService table) {
    this.table = table;
  }

  /** Reads the current members. */
  public Mono<MemberSet> read() {
    return table.read(MemberSet.prefixes()).map(MemberSet::of);
  }

  /**
   * Adds a box with a new incarnation; retries until it succeeds. The incarnation is the epoch of
   * the changed set, so that it increases without a clock.
   *
   * @param box the row of the box; its incarnation is ignored
   */
  public Mono<MemberRow> join(MemberRow box) {
    return Mono.defer(this::read)
        .flatMap(members -> tryJoin(box, members))
        .retryWhen(
            Retry.backoff(Long.MAX_VALUE, MIN_BACKOFF)
                .maxBackoff(MAX_BACKOFF)
                .doBeforeRetry(
                    signal ->
                        Logger.debug("retrying to join the member set: {}", signal.failure())));
  }

  /** Removes a box if it is a member with the given incarnation. */
  public Mono<Void> leave(MemberRow box) {
    return Mono.defer(this::read)
        .flatMap(
            members ->
                isMember(members, box) ? delete(members, box.boxId()) : Mono.just(Boolean.TRUE))
        .flatMap(removed -> removed ? Mono.empty() : Mono.error(conflict("leaving")))
        .retryWhen(Retry.backoff(5, MIN_BACKOFF).maxBackoff(MAX_BACKOFF))
        .then();
  }

  /**
   * Marks a member for removal, so that others stop confirming it after their next read; returns
   * whether the member set was unchanged since it was read.
   */
  public Mono<Boolean> markRemoving(MemberSet members, MemberRow member) {
    String key = MemberRow.rowKey(member.boxId());
    return startChange(members, member.boxId())
        .flatMap(
            transaction ->
                table.commit(
                    transaction.put(key, RowValues.encode(member.markedRemoving())).build()))
        .map(CommitResult::committed);
  }

  /** Removes a member; returns whether the member set was unchanged since it was read. */
  public Mono<Boolean> delete(MemberSet members, String boxId) {
    return startChange(members, boxId)
        .flatMap(transaction -> table.commit(transaction.delete(MemberRow.rowKey(boxId)).build()))
        .map(CommitResult::committed);
  }

  /** Starts a transaction that changes one member, on the condition that the set is unchanged. */
  private static Mono<TableTransaction.Builder> startChange(MemberSet members, String boxId) {
    return Mono.fromSupplier(
        () ->
            TableTransaction.builder()
                .require(MemberSet.EPOCH_KEY, members.revision())
                .require(MemberRow.rowKey(boxId), members.rowRevision(boxId))
                .put(MemberSet.EPOCH_KEY, members.nextEpochValue()));
  }

  private Mono<MemberRow> tryJoin(MemberRow box, MemberSet members) {
    String key = MemberRow.rowKey(box.boxId());
    MemberRow joining =
        new MemberRow(
            box.boxId(),
            members.epoch() + 1,
            box.availabilityZone(),
            box.host(),
            box.port(),
            false);
    return startChange(members, box.boxId())
        .flatMap(
            transaction -> table.commit(transaction.put(key, RowValues.encode(joining)).build()))
        .flatMap(
            result -> result.committed() ? Mono.just(joining) : Mono.error(conflict("joining")));
  }

  private static boolean isMember(MemberSet members, MemberRow box) {
    return members
        .member(box.boxId())
        .filter(member -> member.incarnation() == box.incarnation())
        .isPresent();
  }

  private static PlatformException conflict(String operation) {
    return new PlatformException("the members changed during " + operation, null);
  }
}
