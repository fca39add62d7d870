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
  private static final Duration RENEWAL_TIME = Duration.ofMillis(2_000);

  /**
   * Part of the bound for upstreams that leave after which the list is judged. The rest is for the
   * look that comes before, and for the way of what was sent a moment earlier.
   */
  private static final double SHARE_OF_LEAVING_DELAY = 0.9;

  private final UpstreamRegistry upstreams;
  private final UpstreamRowReader reader;
  private final UnreadableRowLog unreadableRows;
  private final Runnable changeListener;
  private final EventLoop loop;
  private final long renewalMillis;
  private final ReadContinuityTracker readContinuity;
  private Runnable readAction = () -> {};
  private boolean awaitingConfirmation;
  private int outageCount;

  /**
   * Creates the listener.
   *
   * @param leavingBound time within which an upstream that leaves must get no new work
   */
  UpstreamTableListener(
      UpstreamRegistry upstreams,
      UpstreamRowReader reader,
      UnreadableRowLog unreadable,
      Runnable onNews,
      EventLoop loop,
      MonotonicClock clock,
      Duration leavingBound) {
    this.upstreams = upstreams;
    this.reader = reader;
    this.unreadableRows = unreadable;
    this.changeListener = onNews;
    this.loop = loop;
    this.readContinuity = new ReadContinuityTracker(clock);
    upstreams.setTrustSupplier(readContinuity::trust);
    this.renewalMillis =
        Math.min(
            RENEWAL_TIME.toMillis(), (long) (leavingBound.toMillis() * SHARE_OF_LEAVING_DELAY));
  }

  /** Sets how the list is read at once. */
  void setReadAction(Runnable action) {
    readAction = action;
  }

  @Override
  public void onContent(TableContent content) {
    upstreams.replaceAll(content.revision(), readRows(content.rows(), new ArrayList<>()));
  }

  @Override
  public void onChanges(TableChanges changes) {
    unreadableRows.remove(changes.removed());
    List<String> missing = new ArrayList<>(changes.removed());
    List<UpstreamRecord> whole = readRows(changes.put(), missing);
    notifyIfChanged(() -> upstreams.update(changes.revision(), whole, missing));
  }

  private void notifyIfChanged(Runnable change) {
    long before = upstreams.changedAt();
    change.run();
    if (upstreams.changedAt() > before) {
      changeListener.run();
    }
  }

  @Override
  public void onUnavailable() {
    outageCount++;
    awaitingConfirmation = false;
    upstreams.distrustRemovals();
    changeListener.run();
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
    int ended = outageCount;
    loop.schedule(() -> confirmRemovalsAfter(ended), renewalMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * What is missing from the next answer is gone. An answer from before may be as old as the pause
   * between two looks, in which living upstreams have renewed their entries.
   */
  private void confirmRemovalsAfter(int ended) {
    if (ended == outageCount) {
      confirmRemovals();
    }
  }

  private void confirmRemovals() {
    awaitingConfirmation = true;
    readAction.run();
  }

  /**
   * Judges what is missing, as no other box doubts the list any more. One that has noticed the
   * outage itself does so in its own time.
   */
  void onListConfirmed() {
    if (upstreams.listTrust() != ListTrust.DOUBTED) {
      confirmRemovals();
    }
  }

  @Override
  public void onAnswerApplied() {
    readContinuity.recordAnswer();
    if (awaitingConfirmation) {
      awaitingConfirmation = false;
      boolean doubted = upstreams.listTrust() == ListTrust.DOUBTED;
      notifyIfChanged(upstreams::trustRemovals);
      if (doubted) {
        changeListener.run();
      }
    }
  }

  /** Returns the upstreams that rows name, and adds the keys of the other rows to a list. */
  private List<UpstreamRecord> readRows(List<TableRow> rows, List<String> unread) {
    List<UpstreamRecord> whole = new ArrayList<>();
    for (TableRow row : rows) {
      reader
          .read(row)
          .peek(whole::add)
          .peek(upstream -> unreadableRows.remove(List.of(row.key())))
          .peekLeft(why -> unreadableRows.logIfChanged(row, why))
          .peekLeft(why -> unread.add(row.key()));
    }
    return whole;
  }
}
