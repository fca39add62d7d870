package org.gradeledge.box;

import picocli.CommandLine.Command;

/** Shows who changed what, and each verdict. */
@Command(
    name = "audit",
    mixinStandardHelpOptions = true,
    description = "Shows who changed what, and each verdict.")
final class AuditCommand extends AbstractOperatorCommand {

  @Override
  OperatorClient.Reply call(OperatorClient client) {
    return client.get("/v1/audit");
  }
}
