package org.gradeledge.box;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.gradeledge.document.JsonMappers;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that makes one call to a box and prints the answer. */
abstract class AbstractOperatorCommand implements Callable<Integer> {

  private static final int FIRST_SUCCESS_STATUS = 200;
  private static final int FIRST_REDIRECT_STATUS = 300;

  @Spec private CommandSpec spec;
  @Mixin private OperatorOptions options;

  /** Makes the call. */
  abstract OperatorClient.Reply call(OperatorClient client);

  @Override
  public final Integer call() {
    OperatorClient.Reply reply;
    try {
      reply = call(options.createClient());
    } catch (RuntimeException e) {
      err().println("the box could not be reached: " + e.getMessage());
      return ExitCode.UNREACHABLE.code();
    }
    (reply.status() < FIRST_REDIRECT_STATUS ? out() : err()).println(formatJson(reply.body()));
    return exitCode(reply).code();
  }

  /** Returns the exit code that tells the reply. */
  ExitCode exitCode(OperatorClient.Reply reply) {
    boolean done = reply.status() >= FIRST_SUCCESS_STATUS && reply.status() < FIRST_REDIRECT_STATUS;
    return done ? ExitCode.OK : ExitCode.FAILED;
  }

  final PrintWriter out() {
    return spec.commandLine().getOut();
  }

  final PrintWriter err() {
    return spec.commandLine().getErr();
  }

  private static String formatJson(byte[] body) {
    try {
      return JsonMappers.json()
          .writerWithDefaultPrettyPrinter()
          .writeValueAsString(JsonMappers.json().readTree(body));
    } catch (IOException e) {
      return new String(body, StandardCharsets.UTF_8);
    }
  }
}
