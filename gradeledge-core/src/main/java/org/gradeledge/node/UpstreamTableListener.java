package org.gradeledge.node;

import java.util.List;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableListener;
import org.gradeledge.follow.TableRow;

/** Takes the list of upstreams into the registry; a row that cannot be read is passed over. */
final class UpstreamTableListener implements TableListener {

  private final UpstreamRegistry upstreams;
  private final UpstreamRowReader reader;
  private final EventLog events;
  private final Runnable onNews;

  UpstreamTableListener(
      UpstreamRegistry upstreams, UpstreamRowReader reader, EventLog events, Runnable onNews) {
    this.upstreams = upstreams;
    this.reader = reader;
    this.events = events;
    this.onNews = onNews;
  }

  @Override
  public void onContent(TableContent content) {
    upstreams.replaceAll(content.revision(), read(content.rows()));
  }

  @Override
  public void onChanges(TableChanges changes) {
    long before = upstreams.changedAt();
    upstreams.update(changes.revision(), read(changes.put()), changes.removed());
    if (upstreams.changedAt() > before) {
      onNews.run();
    }
  }

  private List<UpstreamRecord> read(List<TableRow> rows) {
    return rows.stream()
        .map(row -> reader.read(row).peekLeft(why -> unreadable(row, why)))
        .flatMap(read -> read.toJavaStream())
        .toList();
  }

  private void unreadable(TableRow row, String why) {
    events.problem("upstream-row-unreadable").with("row", row.key()).with("why", why).write();
  }
}
