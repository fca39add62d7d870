package org.gradeledge.box;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows a pipeline file as accepted, or all pipelines. */
@Command(
    name = "show",
    mixinStandardHelpOptions = true,
    description = "Shows a pipeline file as accepted, or all pipelines where none is named.")
final class ShowCommand extends AbstractOperatorCommand {

  @Parameters(paramLabel = "PIPELINE", arity = "0..1", description = "Name of the pipeline.")
  private String pipeline;

  @Override
  OperatorClient.Reply call(OperatorClient client) {
    return client.get("/v1/pipelines" + (pipeline == null ? "" : "/" + pipeline));
  }
}
