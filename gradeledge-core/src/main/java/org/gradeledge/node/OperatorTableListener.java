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
  private static final Duration WRITTEN_AGAIN = Duration.ofSeconds(2);

  private final OperatorOrderReader orders;
  private final DeploymentRegistry deployments;
  private final UpstreamRegistry upstreams;
  private final Runnable onEvacuations;
  private final EventLoop loop;
  private final Set<String> evacuated = new HashSet<>();

  /** What holds against the table while its orders are yet to be written again; else the same. */
  private final Set<String> inForce = new HashSet<>();

  private int copies;
  private boolean settling;
  private long revision;

  OperatorTableListener(
      OperatorOrderReader orders,
      DeploymentRegistry deployments,
      UpstreamRegistry upstreams,
      EventLoop loop,
      Runnable onEvacuations) {
    this.orders = orders;
    this.deployments = deployments;
    this.upstreams = upstreams;
    this.loop = loop;
    this.onEvacuations = onEvacuations;
  }

  @Override
  public void onContent(TableContent content) {
    evacuated.clear();
    zones(content.rows().stream().map(TableRow::key)).forEach(evacuated::add);
    if (!settling) {
      putInForce(evacuated);
    }
    tell(content.revision());
    offer(content.rows());
  }

  @Override
  public void onChanges(TableChanges changes) {
    List<String> put = zones(changes.put().stream().map(TableRow::key)).toList();
    List<String> removed = zones(changes.removed().stream()).toList();
    for (Set<String> zones : List.of(evacuated, inForce)) {
      zones.addAll(put);
      removed.forEach(zones::remove);
    }
    tell(changes.revision());
    offer(changes.put());
  }

  /**
   * What the copy lacks or has again was ordered or lifted since it was taken, and holds until the
   * operator has had the time to write it anew. What is written meanwhile holds at once.
   */
  @Override
  public void onBackupRestored() {
    int number = ++copies;
    settling = true;
    putInForce(upstreams.evacuations().zones());
    loop.schedule(() -> settled(number), WRITTEN_AGAIN.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void settled(int number) {
    if (number == copies) {
      settling = false;
      putInForce(evacuated);
      tell(revision);
    }
  }

  private void putInForce(Set<String> zones) {
    inForce.clear();
    inForce.addAll(zones);
  }

  private Stream<String> zones(Stream<String> keys) {
    return keys.flatMap(key -> orders.evacuatedZone(key).stream());
  }

  /**
   * An order is in force before a configuration that came with it is. What holds against a copy
   * gives way to what is read, at whatever revision that stands.
   */
  private void tell(long newRevision) {
    revision = newRevision;
    long holds = settling ? revision - 1 : revision;
    if (upstreams.applyEvacuations(new ZoneEvacuations(holds, inForce))) {
      onEvacuations.run();
    }
  }

  private void offer(List<TableRow> rows) {
    rows.stream()
        .filter(row -> orders.isConfiguration(row.key()))
        .forEach(row -> deployments.offer(row.value(), SOURCE));
  }
}
