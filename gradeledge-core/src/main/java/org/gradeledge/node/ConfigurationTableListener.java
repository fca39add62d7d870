package org.gradeledge.node;

import java.util.List;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableListener;
import org.gradeledge.follow.TableRow;

/** Offers each configuration document to the registry. */
final class ConfigurationTableListener implements TableListener {

  private static final String SOURCE = "platform";

  private final DeploymentRegistry deployments;

  ConfigurationTableListener(DeploymentRegistry deployments) {
    this.deployments = deployments;
  }

  @Override
  public void onContent(TableContent content) {
    offer(content.rows());
  }

  @Override
  public void onChanges(TableChanges changes) {
    offer(changes.put());
  }

  private void offer(List<TableRow> rows) {
    rows.forEach(row -> deployments.offer(row.value(), SOURCE));
  }
}
