package org.gradeledge.box;

import picocli.CommandLine.Command;

/** Shows the audit log: submissions, their operators and verdicts. */
@Command(
    name = "audit",
    mixinStandardHelpOptions = true,
    description = "Shows the audit log: submissions, their operators and verdicts.")
final class AuditCommand extends AbstractOperatorCommand {

  @Override
  OperatorClient.Reply call(OperatorClient client) {
    return client.get("/v1/audit");
  }
}
