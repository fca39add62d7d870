package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableListener;
import org.gradeledge.follow.TableRow;

/** Takes the list of upstreams into the registry; a row that cannot be read is passed over. */
final class UpstreamTableListener implements TableListener {

  /** Upstreams that live have renewed their entries by then after the platform's return. */
  private static final long RENEWAL_MILLIS = 2_000;

  private final UpstreamRegistry upstreams;
  private final UpstreamRowReader reader;
  private final EventLog events;
  private final Runnable onNews;
  private final EventLoop loop;
  private int outages;

  UpstreamTableListener(
      UpstreamRegistry upstreams,
      UpstreamRowReader reader,
      EventLog events,
      Runnable onNews,
      EventLoop loop) {
    this.upstreams = upstreams;
    this.reader = reader;
    this.events = events;
    this.onNews = onNews;
    this.loop = loop;
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

  @Override
  public void onAway() {
    outages++;
    upstreams.distrustRemovals();
  }

  @Override
  public void onBack() {
    int ended = outages;
    loop.schedule(() -> settle(ended), RENEWAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void settle(int ended) {
    if (ended == outages) {
      upstreams.trustRemovals();
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
