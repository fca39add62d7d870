package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.ListTrust;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableListener;
import org.gradeledge.follow.TableRow;
import org.gradeledge.time.MonotonicClock;

/**
 * Takes the list of upstreams into the registry. A row that cannot be read names no upstream: where
 * one stood under its key before, that is taken as missing until the row is whole again, since what
 * cannot be read may have said that the upstream leaves.
 */
final class UpstreamTableListener implements TableListener {

  /** Upstreams that live have renewed their entries by then after the platform's return. */
  private static final Duration RENEWAL = Duration.ofMillis(2_000);

  /**
   * Part of the bound for upstreams that leave after which the list is judged. The rest is for the
   * look that comes before, and for the way of what was sent a moment earlier.
   */
  private static final double PART_OF_BOUND = 0.9;

  private final UpstreamRegistry upstreams;
  private final UpstreamRowReader reader;
  private final UnreadableRows unreadable;
  private final Runnable onNews;
  private final EventLoop loop;
  private final long graceMillis;
  private final SteadyReading reading;
  private Runnable look = () -> {};
  private boolean judging;
  private int outages;

  /**
   * Creates the listener.
   *
   * @param leavingBound time within which an upstream that leaves must get no new work
   */
  UpstreamTableListener(
      UpstreamRegistry upstreams,
      UpstreamRowReader reader,
      UnreadableRows unreadable,
      Runnable onNews,
      EventLoop loop,
      MonotonicClock clock,
      Duration leavingBound) {
    this.upstreams = upstreams;
    this.reader = reader;
    this.unreadable = unreadable;
    this.onNews = onNews;
    this.loop = loop;
    this.reading = new SteadyReading(clock);
    upstreams.setTrustSupplier(reading::trust);
    this.graceMillis =
        Math.min(RENEWAL.toMillis(), (long) (leavingBound.toMillis() * PART_OF_BOUND));
  }

  /** Sets how the list is read at once. */
  void onLook(Runnable action) {
    look = action;
  }

  @Override
  public void onContent(TableContent content) {
    upstreams.replaceAll(content.revision(), read(content.rows(), new ArrayList<>()));
  }

  @Override
  public void onChanges(TableChanges changes) {
    unreadable.forget(changes.removed());
    List<String> missing = new ArrayList<>(changes.removed());
    List<UpstreamRecord> whole = read(changes.put(), missing);
    tellIfNews(() -> upstreams.update(changes.revision(), whole, missing));
  }

  private void tellIfNews(Runnable change) {
    long before = upstreams.changedAt();
    change.run();
    if (upstreams.changedAt() > before) {
      onNews.run();
    }
  }

  @Override
  public void onUnavailable() {
    outages++;
    judging = false;
    upstreams.distrustRemovals();
    onNews.run();
  }

  /** Whoever lives has written its entry again by the time that an outage's lapsed ones are. */
  @Override
  public void onBackupRestored() {
    onUnavailable();
    upstreams.distrustReappearedEntries();
    onAvailableAgain();
  }

  @Override
  public void onAvailableAgain() {
    int ended = outages;
    loop.schedule(() -> judge(ended), graceMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * What is missing from the next answer is gone. An answer from before may be as old as the pause
   * between two looks, in which living upstreams have renewed their entries.
   */
  private void judge(int ended) {
    if (ended == outages) {
      judgeNow();
    }
  }

  private void judgeNow() {
    judging = true;
    look.run();
  }

  /**
   * Judges what is missing, as no other box doubts the list any more. One that has noticed the
   * outage itself does so in its own time.
   */
  void settled() {
    if (upstreams.listTrust() != ListTrust.DOUBTED) {
      judgeNow();
    }
  }

  @Override
  public void onAnswerApplied() {
    reading.answered();
    if (judging) {
      judging = false;
      boolean doubted = upstreams.listTrust() == ListTrust.DOUBTED;
      tellIfNews(upstreams::trustRemovals);
      if (doubted) {
        onNews.run();
      }
    }
  }

  /** Returns the upstreams that rows name, and adds the keys of the other rows to a list. */
  private List<UpstreamRecord> read(List<TableRow> rows, List<String> unread) {
    List<UpstreamRecord> whole = new ArrayList<>();
    for (TableRow row : rows) {
      reader
          .read(row)
          .peek(whole::add)
          .peek(upstream -> unreadable.forget(List.of(row.key())))
          .peekLeft(why -> unreadable.add(row, why))
          .peekLeft(why -> unread.add(row.key()));
    }
    return whole;
  }
}
