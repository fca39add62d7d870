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
 * Takes on what the operator orders: offers each configuration document to the registry, and keeps
 * the zones that are evacuated. Confined to the event loop.
 */
final class OperatorTableListener implements TableListener {

  private static final String SOURCE = "platform";

  /** As long as upstreams are given to write their entries again after an outage. */
  private static final Duration REWRITE_TIME = Duration.ofSeconds(2);

  private final OperatorRowReader rowReader;
  private final DeploymentRegistry deployments;
  private final UpstreamRegistry upstreams;
  private final Runnable evacuationListener;
  private final EventLoop loop;
  private final Set<String> tableZones = new HashSet<>();

  /** What holds against the table while its orders are yet to be written again; else the same. */
  private final Set<String> effectiveZones = new HashSet<>();

  private int restoreCount;
  private boolean awaitingRewrites;
  private long revision;

  OperatorTableListener(
      OperatorRowReader orders,
      DeploymentRegistry deployments,
      UpstreamRegistry upstreams,
      EventLoop loop,
      Runnable onEvacuations) {
    this.rowReader = orders;
    this.deployments = deployments;
    this.upstreams = upstreams;
    this.loop = loop;
    this.evacuationListener = onEvacuations;
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
    List<String> put = evacuatedZones(changes.put().stream().map(TableRow::key)).toList();
    List<String> removed = evacuatedZones(changes.removed().stream()).toList();
    for (Set<String> zones : List.of(tableZones, effectiveZones)) {
      zones.addAll(put);
      removed.forEach(zones::remove);
    }
    applyEvacuations(changes.revision());
    offerConfigurations(changes.put());
  }

  /**
   * What the copy lacks or has again was ordered or lifted since it was taken, and holds until the
   * operator has had the time to write it anew. What is written meanwhile holds at once.
   */
  @Override
  public void onBackupRestored() {
    int number = ++restoreCount;
    awaitingRewrites = true;
    setEffectiveZones(upstreams.evacuations().zones());
    loop.schedule(() -> endRewriteTime(number), REWRITE_TIME.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void endRewriteTime(int number) {
    if (number == restoreCount) {
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
   * An order is in force before a configuration that came with it is. What holds against a copy
   * gives way to what is read, at whatever revision that stands.
   */
  private void applyEvacuations(long newRevision) {
    revision = newRevision;
    long holds = awaitingRewrites ? revision - 1 : revision;
    if (upstreams.applyEvacuations(new ZoneEvacuations(holds, effectiveZones))) {
      evacuationListener.run();
    }
  }

  private void offerConfigurations(List<TableRow> rows) {
    rows.stream()
        .filter(row -> rowReader.isConfiguration(row.key()))
        .forEach(row -> deployments.offer(row.value(), SOURCE));
  }
}
