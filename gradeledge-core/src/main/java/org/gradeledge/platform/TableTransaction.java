package org.gradeledge.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A transaction whose writes are applied atomically if all conditions hold.
 *
 * @param conditions preconditions
 * @param writes rows to write or delete
 * @since 0.1
 */
public record TableTransaction(List<TableCondition> conditions, List<TableWrite> writes) {

  /** Creates an immutable transaction. */
  public TableTransaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
  }

  /** Creates a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a {@link TableTransaction}. Not thread-safe. */
  public static final class Builder {

    private final List<TableCondition> conditions = new ArrayList<>();
    private final List<TableWrite> writes = new ArrayList<>();

    private Builder() {}

    /** Requires that a row has the given revision. */
    public Builder require(String key, long revision) {
      conditions.add(new TableCondition(key, revision));
      return this;
    }

    /** Requires that a row does not exist. */
    public Builder requireAbsent(String key) {
      return require(key, TableRow.ABSENT);
    }

    /** Writes a row. */
    public Builder put(String key, String value) {
      writes.add(new TableWrite(key, Optional.of(value)));
      return this;
    }

    /** Deletes a row. */
    public Builder delete(String key) {
      writes.add(new TableWrite(key, Optional.empty()));
      return this;
    }

    /** Builds the transaction. */
    public TableTransaction build() {
      return new TableTransaction(conditions, writes);
    }
  }
}
