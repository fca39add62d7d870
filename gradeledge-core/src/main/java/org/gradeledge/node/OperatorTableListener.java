package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.discovery.ZoneEvacuations;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableListener;
import org.gradeledge.follow.TableRow;

/**
 * Applies the rows that an operator writes: offers configuration documents to the registry and
 * updates the evacuated zones. Confined to the event loop.
 */
final class OperatorTableListener implements TableListener {

  private static final String SOURCE = "platform";

  /** Time allowed for writing rows again after a backup was restored. */
  private static final Duration REWRITE_TIME = Duration.ofSeconds(2);

  private final OperatorRowReader rowReader;
  private final DeploymentRegistry deployments;
  private final UpstreamRegistry upstreams;
  private final Runnable evacuationListener;
  private final EventLoop loop;
  private final Set<String> tableZones = new HashSet<>();

  /**
   * Zones currently evacuated. Differs from the table while rows may be missing after a restore.
   */
  private final Set<String> effectiveZones = new HashSet<>();

  private int restoreCount;
  private boolean awaitingRewrites;
  private long revision;

  OperatorTableListener(
      OperatorRowReader rowReader,
      DeploymentRegistry deployments,
      UpstreamRegistry upstreams,
      EventLoop loop,
      Runnable evacuationListener) {
    this.rowReader = rowReader;
    this.deployments = deployments;
    this.upstreams = upstreams;
    this.loop = loop;
    this.evacuationListener = evacuationListener;
  }

  @Override
  public void onContent(TableContent content) {
    tableZones.clear();
    evacuatedZones(content.rows().stream().map(TableRow::key)).forEach(tableZones::add);
    if (!awaitingRewrites) {
      setEffectiveZones(tableZones);
    }
    applyEvacuations(content.revision());
    offerConfigurations(content.rows());
  }

  @Override
  public void onChanges(TableChanges changes) {
    List<String> added = evacuatedZones(changes.put().stream().map(TableRow::key)).toList();
    List<String> removed = evacuatedZones(changes.removed().stream()).toList();
    for (Set<String> zones : List.of(tableZones, effectiveZones)) {
      zones.addAll(added);
      removed.forEach(zones::remove);
    }
    applyEvacuations(changes.revision());
    offerConfigurations(changes.put());
  }

  /**
   * Keeps the current evacuations until the operator has had time to write them again. Changes
   * written in the meantime apply immediately.
   */
  @Override
  public void onBackupRestored() {
    int restore = ++restoreCount;
    awaitingRewrites = true;
    setEffectiveZones(upstreams.evacuations().zones());
    loop.schedule(() -> endRewriteTime(restore), REWRITE_TIME.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void endRewriteTime(int restore) {
    if (restore == restoreCount) {
      awaitingRewrites = false;
      setEffectiveZones(tableZones);
      applyEvacuations(revision);
    }
  }

  private void setEffectiveZones(Set<String> zones) {
    effectiveZones.clear();
    effectiveZones.addAll(zones);
  }

  private Stream<String> evacuatedZones(Stream<String> keys) {
    return keys.flatMap(key -> rowReader.evacuatedZone(key).stream());
  }

  /**
   * Applies evacuations before the configuration of the same read. While waiting for rows to be
   * written again, uses the preceding revision so that a later read at the same revision is still
   * applied.
   */
  private void applyEvacuations(long newRevision) {
    revision = newRevision;
    long effectiveRevision = awaitingRewrites ? revision - 1 : revision;
    if (upstreams.applyEvacuations(new ZoneEvacuations(effectiveRevision, effectiveZones))) {
      evacuationListener.run();
    }
  }

  private void offerConfigurations(List<TableRow> rows) {
    rows.stream()
        .filter(row -> rowReader.isConfiguration(row.key()))
        .forEach(row -> deployments.offer(row.value(), SOURCE));
  }
}
