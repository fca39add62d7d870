package org.gradeledge.box;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows each member and the versions in force there, or what each stage consumes. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Shows each member and the versions in force there.")
final class StatusCommand extends AbstractOperatorCommand {

  @Option(names = "--costs", description = "Shows what each stage consumed on this box instead.")
  private boolean costs;

  @Override
  OperatorClient.Reply call(OperatorClient client) {
    return client.get(costs ? "/v1/costs" : "/v1/boxes");
  }
}
