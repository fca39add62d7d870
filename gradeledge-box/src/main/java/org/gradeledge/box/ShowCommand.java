package org.gradeledge.box;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows the accepted file of a pipeline, or lists all pipelines. */
@Command(
    name = "show",
    mixinStandardHelpOptions = true,
    description = "Shows the accepted file of a pipeline, or lists all pipelines.")
final class ShowCommand extends AbstractOperatorCommand {

  @Parameters(paramLabel = "PIPELINE", arity = "0..1", description = "Name of the pipeline.")
  private String pipeline;

  @Override
  OperatorClient.Reply call(OperatorClient client) {
    return client.get("/v1/pipelines" + (pipeline == null ? "" : "/" + pipeline));
  }
}
