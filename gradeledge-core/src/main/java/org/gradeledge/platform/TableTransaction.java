package org.gradeledge.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Conditions and writes that take effect together or not at all.
 *
 * @param conditions all must hold
 * @param writes all are done
 * @since 0.1
 */
public record TableTransaction(List<TableCondition> conditions, List<TableWrite> writes) {

  /** Copies the lists. */
  public TableTransaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
  }

  /** Starts a transaction. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a {@link TableTransaction}. Not thread-safe. */
  public static final class Builder {

    private final List<TableCondition> conditions = new ArrayList<>();
    private final List<TableWrite> writes = new ArrayList<>();

    private Builder() {}

    /** Requires a row to have a revision. */
    public Builder require(String key, long revision) {
      conditions.add(new TableCondition(key, revision));
      return this;
    }

    /** Requires that there is no row. */
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

    /** Returns the transaction. */
    public TableTransaction build() {
      return new TableTransaction(conditions, writes);
    }
  }
}
