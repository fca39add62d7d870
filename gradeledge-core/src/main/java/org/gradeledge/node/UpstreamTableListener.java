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
 * Applies the list of upstreams to the registry. A row that cannot be read removes the upstream of
 * its key until the row is readable again, as its content may announce that the upstream is
 * leaving.
 */
final class UpstreamTableListener implements TableListener {

  /** Time within which live upstreams renew their rows after an outage of the platform. */
  private static final Duration RENEWAL_TIME = Duration.ofMillis(2_000);

  /**
   * Share of the maximum leaving delay after which missing rows are treated as removed. The rest
   * covers the preceding read and requests already sent.
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
   * @param maxLeavingDelay time within which a leaving upstream must stop receiving new requests
   */
  UpstreamTableListener(
      UpstreamRegistry upstreams,
      UpstreamRowReader reader,
      UnreadableRowLog unreadableRows,
      Runnable changeListener,
      EventLoop loop,
      MonotonicClock clock,
      Duration maxLeavingDelay) {
    this.upstreams = upstreams;
    this.reader = reader;
    this.unreadableRows = unreadableRows;
    this.changeListener = changeListener;
    this.loop = loop;
    this.readContinuity = new ReadContinuityTracker(clock);
    upstreams.setTrustSupplier(readContinuity::trust);
    this.renewalMillis =
        Math.min(
            RENEWAL_TIME.toMillis(), (long) (maxLeavingDelay.toMillis() * SHARE_OF_LEAVING_DELAY));
  }

  /** Sets the action that reads the list immediately. */
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
    List<UpstreamRecord> readable = readRows(changes.put(), missing);
    notifyIfChanged(() -> upstreams.update(changes.revision(), readable, missing));
  }

  private void notifyIfChanged(Runnable change) {
    long previousRevision = upstreams.changedAt();
    change.run();
    if (upstreams.changedAt() > previousRevision) {
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

  /** Treats a restored backup like an outage: live upstreams write their rows again. */
  @Override
  public void onBackupRestored() {
    onUnavailable();
    upstreams.distrustReappearedEntries();
    onAvailableAgain();
  }

  @Override
  public void onAvailableAgain() {
    int outage = outageCount;
    loop.schedule(() -> confirmRemovalsAfter(outage), renewalMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Treats rows missing from the next answer as removed, unless another outage has begun. Earlier
   * answers may predate the renewal of rows.
   */
  private void confirmRemovalsAfter(int outage) {
    if (outage == outageCount) {
      confirmRemovals();
    }
  }

  private void confirmRemovals() {
    awaitingConfirmation = true;
    readAction.run();
  }

  /**
   * Confirms removals once no other box distrusts the list. A box that noticed the outage itself
   * confirms them after its own delay.
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
      boolean distrusted = upstreams.listTrust() == ListTrust.DOUBTED;
      notifyIfChanged(upstreams::trustRemovals);
      if (distrusted) {
        changeListener.run();
      }
    }
  }

  /** Returns the upstreams of readable rows and adds the keys of the other rows to a list. */
  private List<UpstreamRecord> readRows(List<TableRow> rows, List<String> unreadableKeys) {
    List<UpstreamRecord> readable = new ArrayList<>();
    for (TableRow row : rows) {
      reader
          .read(row)
          .peek(readable::add)
          .peek(upstream -> unreadableRows.remove(List.of(row.key())))
          .peekLeft(reason -> unreadableRows.logIfChanged(row, reason))
          .peekLeft(reason -> unreadableKeys.add(row.key()));
    }
    return readable;
  }
}
