package org.gradeledge.node;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
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

  private final OperatorOrderReader orders;
  private final DeploymentRegistry deployments;
  private final UpstreamRegistry upstreams;
  private final Runnable onEvacuations;
  private final Set<String> evacuated = new HashSet<>();

  OperatorTableListener(
      OperatorOrderReader orders,
      DeploymentRegistry deployments,
      UpstreamRegistry upstreams,
      Runnable onEvacuations) {
    this.orders = orders;
    this.deployments = deployments;
    this.upstreams = upstreams;
    this.onEvacuations = onEvacuations;
  }

  @Override
  public void onContent(TableContent content) {
    evacuated.clear();
    takeEvacuations(content.rows());
    tell(content.revision());
    offer(content.rows());
  }

  @Override
  public void onChanges(TableChanges changes) {
    takeEvacuations(changes.put());
    removeEvacuations(changes.removed());
    tell(changes.revision());
    offer(changes.put());
  }

  private void takeEvacuations(List<TableRow> rows) {
    rows.forEach(row -> orders.evacuatedZone(row.key()).ifPresent(evacuated::add));
  }

  private void removeEvacuations(Collection<String> keys) {
    keys.forEach(key -> orders.evacuatedZone(key).ifPresent(evacuated::remove));
  }

  /** An order is in force before a configuration that came with it is. */
  private void tell(long revision) {
    if (upstreams.evacuate(new ZoneEvacuations(revision, evacuated))) {
      onEvacuations.run();
    }
  }

  private void offer(List<TableRow> rows) {
    rows.stream()
        .filter(row -> orders.isConfiguration(row.key()))
        .forEach(row -> deployments.offer(row.value(), SOURCE));
  }
}
