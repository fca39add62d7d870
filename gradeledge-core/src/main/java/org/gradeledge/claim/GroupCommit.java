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

  private static final int MOST_IN_ONE = 64;
  private static final int MOST_WAITING = 10_000;
  private static final Duration LONGEST_WAIT = Duration.ofMillis(2);

  private record Item(TableTransaction transaction, Sinks.One<CommitResult> result) {

    Set<String> keys() {
      Set<String> keys = new HashSet<>();
      transaction.conditions().forEach(condition -> keys.add(condition.key()));
      transaction.writes().forEach(write -> keys.add(write.key()));
      return keys;
    }
  }

  private final TableService table;
  private final Sinks.Many<Item> incoming =
      Sinks.many().unicast().onBackpressureBuffer(new LinkedBlockingQueue<>(MOST_WAITING));
  private final Disposable task;

  /** Starts the task that commits; {@link #close} ends it. */
  public GroupCommit(TableService table) {
    this.table = table;
    this.task =
        incoming
            .asFlux()
            .bufferTimeout(MOST_IN_ONE, LONGEST_WAIT, true)
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
          Item item = new Item(transaction, Sinks.one());
          synchronized (incoming) {
            incoming.emitNext(item, Sinks.EmitFailureHandler.FAIL_FAST);
          }
          return item.result().asMono();
        });
  }

  /** Ends the task. */
  public void close() {
    task.dispose();
  }

  private Mono<Void> commitAll(List<Item> items) {
    return Flux.fromIterable(inDisjointGroups(items)).concatMap(this::commitGroup).then();
  }

  /** Two transactions on one key must not be merged, or both would find it as it was before. */
  private static List<List<Item>> inDisjointGroups(List<Item> items) {
    List<List<Item>> groups = new ArrayList<>();
    List<Set<String>> keysOfGroups = new ArrayList<>();
    for (Item item : items) {
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

  private Mono<Void> commitGroup(List<Item> group) {
    if (group.isEmpty()) {
      return Mono.empty();
    }
    return table
        .commit(merge(group))
        .flatMap(result -> settle(group, result))
        .onErrorResume(
            e -> {
              group.forEach(item -> item.result().tryEmitError(e));
              return Mono.empty();
            });
  }

  private Mono<Void> settle(List<Item> group, CommitResult result) {
    if (result.committed()) {
      group.forEach(item -> item.result().tryEmitValue(result));
      return Mono.empty();
    }
    Set<String> conflicts = Set.copyOf(result.conflicts());
    List<Item> others = new ArrayList<>();
    for (Item item : group) {
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

  private static TableTransaction merge(List<Item> group) {
    List<TableCondition> conditions =
        group.stream().flatMap(item -> item.transaction().conditions().stream()).toList();
    List<TableWrite> writes =
        group.stream().flatMap(item -> item.transaction().writes().stream()).toList();
    return new TableTransaction(conditions, writes);
  }
}
