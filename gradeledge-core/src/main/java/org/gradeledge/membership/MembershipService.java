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
 * Writes the members' rows: joining, leaving and removing.
 *
 * <p>Each change of the set also writes the row {@link MemberSet#EPOCH_KEY}, on which the
 * acceptance of a configuration is conditional. A write without an answer is read back.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class MembershipService {

  private static final Duration MIN_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

  private final TableService table;

  /** Creates the service. */
  public MembershipService(TableService table) {
    this.table = table;
  }

  /** Returns the members as of now. */
  public Mono<MemberSet> read() {
    return table.read(MemberSet.prefixes()).map(MemberSet::of);
  }

  /**
   * Enters a box under a new incarnation; tries until the table lets it. The incarnation is the
   * number of the change of the set, so that it counts up without a clock.
   *
   * @param self the box; its incarnation is not looked at
   */
  public Mono<MemberRow> join(MemberRow self) {
    return Mono.defer(this::read)
        .flatMap(members -> tryJoin(self, members))
        .retryWhen(
            Retry.backoff(Long.MAX_VALUE, MIN_BACKOFF)
                .maxBackoff(MAX_BACKOFF)
                .doBeforeRetry(
                    signal -> Logger.debug("join is tried again: {}", signal.failure())));
  }

  /** Takes a box off under its own incarnation; does nothing where that one is gone. */
  public Mono<Void> leave(MemberRow self) {
    return Mono.defer(this::read)
        .flatMap(
            members ->
                isMember(members, self) ? delete(members, self.boxId()) : Mono.just(Boolean.TRUE))
        .flatMap(done -> done ? Mono.empty() : Mono.error(conflict("leaving")))
        .retryWhen(Retry.backoff(5, MIN_BACKOFF).maxBackoff(MAX_BACKOFF))
        .then();
  }

  /** Marks a member as being removed, so that nobody confirms it from the next read on. */
  public Mono<Boolean> markRemoving(MemberSet members, MemberRow member) {
    String key = MemberRow.rowKey(member.boxId());
    return startChange(members, member.boxId())
        .flatMap(
            transaction ->
                table.commit(
                    transaction.put(key, RowValues.encode(member.markedRemoving())).build()))
        .map(CommitResult::committed);
  }

  /** Removes a member; returns whether the set was still as read. */
  public Mono<Boolean> delete(MemberSet members, String boxId) {
    return startChange(members, boxId)
        .flatMap(transaction -> table.commit(transaction.delete(MemberRow.rowKey(boxId)).build()))
        .map(CommitResult::committed);
  }

  /** Starts a change of one member, conditional on the set as read. */
  private static Mono<TableTransaction.Builder> startChange(MemberSet members, String boxId) {
    return Mono.fromSupplier(
        () ->
            TableTransaction.builder()
                .require(MemberSet.EPOCH_KEY, members.revision())
                .require(MemberRow.rowKey(boxId), members.rowRevision(boxId))
                .put(MemberSet.EPOCH_KEY, members.nextEpochValue()));
  }

  private Mono<MemberRow> tryJoin(MemberRow self, MemberSet members) {
    String key = MemberRow.rowKey(self.boxId());
    MemberRow joining =
        new MemberRow(
            self.boxId(),
            members.epoch() + 1,
            self.availabilityZone(),
            self.host(),
            self.port(),
            false);
    return startChange(members, self.boxId())
        .flatMap(
            transaction -> table.commit(transaction.put(key, RowValues.encode(joining)).build()))
        .flatMap(
            result -> result.committed() ? Mono.just(joining) : Mono.error(conflict("joining")));
  }

  private static boolean isMember(MemberSet members, MemberRow self) {
    return members
        .member(self.boxId())
        .filter(member -> member.incarnation() == self.incarnation())
        .isPresent();
  }

  private static PlatformException conflict(String what) {
    return new PlatformException("the members changed during " + what, null);
  }
}
