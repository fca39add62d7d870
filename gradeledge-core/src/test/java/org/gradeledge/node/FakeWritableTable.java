package org.gradeledge.node;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableRow;
import org.gradeledge.follow.WritableTable;
import reactor.core.publisher.Mono;

/** Table shared by the boxes of a test; answers immediately or fails while unavailable. */
final class FakeWritableTable implements WritableTable {

  boolean unavailable;
  int creationCount;
  int removalCount;
  private final TreeMap<String, TableRow> rows = new TreeMap<>();
  private long revision;

  /** Replaces the content with a restored backup. */
  void restoreBackup(List<TableRow> backup) {
    rows.clear();
    backup.forEach(row -> rows.put(row.key(), row));
  }

  Set<String> keys() {
    return rows.keySet();
  }

  TableContent content() {
    return new TableContent(revision, List.copyOf(rows.values()));
  }

  @Override
  public Mono<Boolean> create(TableRow row) {
    return Mono.fromCallable(
        () -> {
          if (unavailable) {
            throw new IOException("the table is unavailable");
          }
          boolean created = rows.putIfAbsent(row.key(), row) == null;
          creationCount += created ? 1 : 0;
          revision++;
          return created;
        });
  }

  @Override
  public Mono<Void> update(List<TableRow> newRows, List<String> removedKeys) {
    return Mono.fromCallable(
            () -> {
              if (unavailable) {
                throw new IOException("the table is unavailable");
              }
              newRows.forEach(row -> rows.put(row.key(), row));
              removedKeys.forEach(rows::remove);
              return revision++;
            })
        .then();
  }

  @Override
  public Mono<Void> remove(List<String> keys) {
    return Mono.fromCallable(
            () -> {
              if (unavailable) {
                throw new IOException("the table is unavailable");
              }
              keys.forEach(rows::remove);
              removalCount++;
              return revision++;
            })
        .then();
  }

  @Override
  public Mono<TableContent> read() {
    return Mono.fromCallable(
        () -> {
          if (unavailable) {
            throw new IOException("the table is unavailable");
          }
          return content();
        });
  }

  @Override
  public Mono<TableChanges> changes(long afterRevision, Duration wait) {
    return Mono.error(new IOException("changes are not followed in this test"));
  }
}
