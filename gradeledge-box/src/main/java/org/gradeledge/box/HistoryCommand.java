package org.gradeledge.box;

import java.util.UUID;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows the verdict of a submission. */
@Command(
    name = "history",
    mixinStandardHelpOptions = true,
    description = "Shows the verdict of a submission.")
final class HistoryCommand extends AbstractOperatorCommand {

  @Parameters(paramLabel = "UUID", description = "Submission id.")
  private UUID submissionId;

  @Override
  OperatorClient.Reply call(OperatorClient client) {
    return client.get("/v1/submissions/" + submissionId);
  }
}
