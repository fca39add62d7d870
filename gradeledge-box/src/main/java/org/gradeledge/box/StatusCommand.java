package org.gradeledge.box;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows the members with their active versions, or the resource use of each stage. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Shows the members and the pipeline versions that are active on each.")
final class StatusCommand extends AbstractOperatorCommand {

  @Option(
      names = "--costs",
      description = "Shows the resource use of each stage on this box instead.")
  private boolean costs;

  @Override
  OperatorClient.Reply call(OperatorClient client) {
    return client.get(costs ? "/v1/costs" : "/v1/boxes");
  }
}
