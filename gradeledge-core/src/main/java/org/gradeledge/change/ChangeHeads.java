package org.gradeledge.change;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gradeledge.platform.RowValues;
import org.gradeledge.platform.TableRow;

/**
 * Which versions are accepted and which submissions staged, as of one read of the table.
 *
 * @param accepted accepted versions by pipeline
 * @param staged staged submissions by pipeline
 * @param revisions revisions of all these rows by key
 * @since 0.1
 */
public record ChangeHeads(
    Map<String, PipelineHead> accepted,
    Map<String, StagedHead> staged,
    Map<String, Long> revisions) {

  /** Returns the heads in some rows; rows of other kinds are passed over. */
  public static ChangeHeads of(List<TableRow> rows) {
    Map<String, PipelineHead> accepted = new HashMap<>();
    Map<String, StagedHead> staged = new HashMap<>();
    Map<String, Long> revisions = new HashMap<>();
    for (TableRow row : rows) {
      if (row.key().startsWith(PipelineHead.PREFIX)) {
        PipelineHead head = RowValues.decode(row, PipelineHead.class);
        accepted.put(head.pipeline(), head);
        revisions.put(row.key(), row.revision());
      } else if (row.key().startsWith(StagedHead.PREFIX)) {
        StagedHead head = RowValues.decode(row, StagedHead.class);
        staged.put(head.record().pipeline(), head);
        revisions.put(row.key(), row.revision());
      }
    }
    return new ChangeHeads(Map.copyOf(accepted), Map.copyOf(staged), Map.copyOf(revisions));
  }

  /** Returns the prefixes to read for the heads of one pipeline. */
  static List<String> rowPrefixes(String pipeline) {
    return List.of(PipelineHead.rowKey(pipeline), StagedHead.rowKey(pipeline));
  }

  Optional<PipelineHead> acceptedOf(String pipeline) {
    return Optional.ofNullable(accepted.get(pipeline));
  }

  Optional<StagedHead> stagedOf(String pipeline) {
    return Optional.ofNullable(staged.get(pipeline));
  }

  long revision(String rowKey) {
    return revisions.getOrDefault(rowKey, TableRow.ABSENT);
  }
}
