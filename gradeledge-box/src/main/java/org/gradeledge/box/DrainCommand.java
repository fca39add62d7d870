package org.gradeledge.box;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Map;
import picocli.CommandLine.Command;

/** Starts the graceful shutdown of a box. */
@Command(
    name = "drain",
    mixinStandardHelpOptions = true,
    description = "Starts the graceful shutdown of a box, as SIGTERM does.")
final class DrainCommand extends AbstractOperatorCommand {

  @Override
  OperatorClient.Reply call(OperatorClient client) {
    return client.call(HttpMethod.POST, "/v1/drain", Map.of(), new byte[0]);
  }
}
