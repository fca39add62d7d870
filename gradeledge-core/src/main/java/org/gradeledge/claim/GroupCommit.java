package org.gradeledge.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import org.gradeledge.platform.CommitResult;
import org.gradeledge.platform.TableCondition;
import org.gradeledge.platform.TableService;
import org.gradeledge.platform.TableTransaction;
import org.gradeledge.platform.TableWrite;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Merges small independent transactions into few large ones, so that a box's writes a second to the
 * table do not grow with its requests.
 *
 * <p>Each small transaction keeps its own outcome: where the conditions of some fail, the others
 * are committed without them. One large transaction is under way at a time. Thread-safe.
 *
 * @since 0.1
 */
public final class GroupCommit {

  private static final int MAX_BATCH_SIZE = 64;
  private static final int MAX_QUEUED = 10_000;
  private static final Duration MAX_BATCH_DELAY = Duration.ofMillis(2);

  private record PendingTransaction(TableTransaction transaction, Sinks.One<CommitResult> result) {

    Set<String> keys() {
      Set<String> keys = new HashSet<>();
      transaction.conditions().forEach(condition -> keys.add(condition.key()));
      transaction.writes().forEach(write -> keys.add(write.key()));
      return keys;
    }
  }

  private final TableService table;
  private final Sinks.Many<PendingTransaction> incoming =
      Sinks.many().unicast().onBackpressureBuffer(new LinkedBlockingQueue<>(MAX_QUEUED));
  private final Disposable subscription;

  /** Starts the task that commits; {@link #close} ends it. */
  public GroupCommit(TableService table) {
    this.table = table;
    this.subscription =
        incoming
            .asFlux()
            .bufferTimeout(MAX_BATCH_SIZE, MAX_BATCH_DELAY, true)
            .concatMap(this::commitAll)
            .subscribe();
  }

  /**
   * Commits a small transaction together with others. Fails as {@link TableService#commit} does;
   * nothing is sent where too many wait already.
   */
  public Mono<CommitResult> commit(TableTransaction transaction) {
    return Mono.defer(
        () -> {
          PendingTransaction item = new PendingTransaction(transaction, Sinks.one());
          synchronized (incoming) {
            incoming.emitNext(item, Sinks.EmitFailureHandler.FAIL_FAST);
          }
          return item.result().asMono();
        });
  }

  /** Ends the task. */
  public void close() {
    subscription.dispose();
  }

  private Mono<Void> commitAll(List<PendingTransaction> items) {
    return Flux.fromIterable(groupByDisjointKeys(items)).concatMap(this::commitGroup).then();
  }

  /** Two transactions on one key must not be merged, or both would find it as it was before. */
  private static List<List<PendingTransaction>> groupByDisjointKeys(
      List<PendingTransaction> items) {
    List<List<PendingTransaction>> groups = new ArrayList<>();
    List<Set<String>> keysOfGroups = new ArrayList<>();
    for (PendingTransaction item : items) {
      Set<String> keys = item.keys();
      int group = 0;
      while (group < groups.size() && keys.stream().anyMatch(keysOfGroups.get(group)::contains)) {
        group++;
      }
      if (group == groups.size()) {
        groups.add(new ArrayList<>());
        keysOfGroups.add(new HashSet<>());
      }
      groups.get(group).add(item);
      keysOfGroups.get(group).addAll(keys);
    }
    return groups;
  }

  private Mono<Void> commitGroup(List<PendingTransaction> group) {
    if (group.isEmpty()) {
      return Mono.empty();
    }
    return table
        .commit(merge(group))
        .flatMap(result -> completeGroup(group, result))
        .onErrorResume(
            e -> {
              group.forEach(item -> item.result().tryEmitError(e));
              return Mono.empty();
            });
  }

  private Mono<Void> completeGroup(List<PendingTransaction> group, CommitResult result) {
    if (result.committed()) {
      group.forEach(item -> item.result().tryEmitValue(result));
      return Mono.empty();
    }
    Set<String> conflicts = Set.copyOf(result.conflicts());
    List<PendingTransaction> others = new ArrayList<>();
    for (PendingTransaction item : group) {
      if (item.keys().stream().anyMatch(conflicts::contains)) {
        item.result().tryEmitValue(result);
      } else {
        others.add(item);
      }
    }
    return others.size() < group.size()
        ? commitGroup(others)
        : Mono.error(new IllegalStateException("a conflict must name a key of the transaction"));
  }

  private static TableTransaction merge(List<PendingTransaction> group) {
    List<TableCondition> conditions =
        group.stream().flatMap(item -> item.transaction().conditions().stream()).toList();
    List<TableWrite> writes =
        group.stream().flatMap(item -> item.transaction().writes().stream()).toList();
    return new TableTransaction(conditions, writes);
  }
}
