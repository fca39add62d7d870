package org.gradeledge.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gradeledge.platform.RowValues;
import org.gradeledge.platform.TableRow;

/**
 * All members as of one read of the table, with the revision that changes whenever the set does.
 *
 * @param revision revision of the row {@link #EPOCH_KEY}
 * @param epoch number of changes of the set so far
 * @param members members by name
 * @param rowRevisions revisions of their rows by name
 * @since 0.1
 */
public record MemberSet(
    long revision, long epoch, Map<String, MemberRow> members, Map<String, Long> rowRevisions) {

  /** Key of the row that every change of the set writes. */
  public static final String EPOCH_KEY = "head/members";

  /** Value of the row {@link #EPOCH_KEY}. */
  record Epoch(long epoch) {}

  /** Copies the maps. */
  public MemberSet {
    members = Map.copyOf(members);
    rowRevisions = Map.copyOf(rowRevisions);
  }

  /** Returns the prefixes to read for {@link #of}. */
  public static List<String> prefixes() {
    return List.of(EPOCH_KEY, MemberRow.PREFIX);
  }

  /** Returns the set in some rows; rows of other kinds are passed over. */
  public static MemberSet of(List<TableRow> rows) {
    Map<String, MemberRow> members = new HashMap<>();
    Map<String, Long> revisions = new HashMap<>();
    long revision = TableRow.ABSENT;
    long epoch = 0;
    for (TableRow row : rows) {
      if (row.key().equals(EPOCH_KEY)) {
        revision = row.revision();
        epoch = RowValues.decode(row, Epoch.class).epoch();
      } else if (row.key().startsWith(MemberRow.PREFIX)) {
        MemberRow member = RowValues.decode(row, MemberRow.class);
        members.put(member.boxId(), member);
        revisions.put(member.boxId(), row.revision());
      }
    }
    return new MemberSet(revision, epoch, members, revisions);
  }

  /** Returns the member of a name. */
  public Optional<MemberRow> member(String boxId) {
    return Optional.ofNullable(members.get(boxId));
  }

  /** Returns whether a box is a member under this very incarnation and is not being removed. */
  public boolean isActiveMember(String boxId, long incarnation) {
    return member(boxId)
        .filter(member -> member.incarnation() == incarnation && !member.removing())
        .isPresent();
  }

  String nextEpochValue() {
    return RowValues.encode(new Epoch(epoch + 1));
  }

  long rowRevision(String boxId) {
    return rowRevisions.getOrDefault(boxId, TableRow.ABSENT);
  }
}
