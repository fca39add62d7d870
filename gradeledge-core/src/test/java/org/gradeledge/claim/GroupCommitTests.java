package org.gradeledge.claim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.gradeledge.platform.CommitResult;
import org.gradeledge.platform.PlatformException;
import org.gradeledge.platform.TableRow;
import org.gradeledge.platform.TableService;
import org.gradeledge.platform.TableTransaction;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

class GroupCommitTests {

  /** A table in which some keys are taken; notes each transaction. */
  private static final class FakeTable implements TableService {

    private final List<TableTransaction> transactions = new CopyOnWriteArrayList<>();
    private final List<String> existingKeys = new ArrayList<>();
    private volatile boolean unavailable;

    @Override
    public Mono<CommitResult> commit(TableTransaction transaction) {
      transactions.add(transaction);
      if (unavailable) {
        return Mono.error(new PlatformException("down", null));
      }
      synchronized (existingKeys) {
        List<String> conflicts =
            transaction.conditions().stream()
                .map(condition -> condition.key())
                .filter(existingKeys::contains)
                .toList();
        if (conflicts.isEmpty()) {
          transaction.writes().forEach(write -> existingKeys.add(write.key()));
        }
        return Mono.just(new CommitResult(conflicts.isEmpty(), 1, conflicts));
      }
    }

    @Override
    public Mono<List<TableRow>> read(List<String> prefixes) {
      return Mono.just(List.of());
    }
  }

  private final FakeTable table = new FakeTable();
  private final GroupCommit groupCommit = new GroupCommit(table);

  @Test
  void mergesManyClaimsIntoFewTransactions() {
    Flux.range(0, 500).flatMap(i -> groupCommit.commit(claim("k" + i)), 500).blockLast();
    assertThat(table.transactions.size()).isLessThan(100);
  }

  @Test
  void conflictOnOneKeyDoesNotAffectOtherClaims() {
    table.existingKeys.add("k7");
    List<CommitResult> results =
        Flux.range(0, 20)
            .flatMapSequential(i -> groupCommit.commit(claim("k" + i)), 20)
            .collectList()
            .block();
    for (int i = 0; i < 20; i++) {
      assertThat(results.get(i).committed()).as("k%s", i).isEqualTo(i != 7);
    }
  }

  @Test
  void commitsOnlyOneOfConcurrentClaimsOfSameKey() {
    List<CommitResult> results =
        Flux.range(0, 10).flatMap(i -> groupCommit.commit(claim("k")), 10).collectList().block();
    assertThat(results).filteredOn(CommitResult::committed).hasSize(1);
  }

  @Test
  void propagatesCommitFailureAndContinues() {
    table.unavailable = true;
    assertThatThrownBy(() -> groupCommit.commit(claim("k")).block())
        .isInstanceOf(PlatformException.class);
    table.unavailable = false;
    assertThat(groupCommit.commit(claim("k")).block().committed()).isTrue();
  }

  private static TableTransaction claim(String key) {
    return TableTransaction.builder().requireAbsent(key).put(key, "{}").build();
  }
}
