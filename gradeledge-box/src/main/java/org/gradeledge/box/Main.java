package org.gradeledge.box;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Entry point of the {@code gradeledge} command line.
 *
 * @since 0.1
 */
@Command(
    name = "gradeledge",
    mixinStandardHelpOptions = true,
    version = "gradeledge 0.1.0",
    description = "Serving system for multi-stage model pipelines.",
    subcommands = {
      BoxCommand.class,
      CheckCommand.class,
      ApplyCommand.class,
      StatusCommand.class,
      ShowCommand.class,
      HistoryCommand.class,
      AuditCommand.class,
      DrainCommand.class,
      ExplainCommand.class,
      AutoComplete.GenerateCompletion.class
    },
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:succeeded or accepted",
      "1:failed",
      "2:invalid arguments, settings or file",
      "3:refused",
      "4:conflict with another submission",
      "5:the base is not the active version",
      "6:the verdict is not known yet; use history",
      "7:could not reach the box"
    })
public final class Main implements Runnable {

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Runs the command line and exits with its code. */
  public static void main(String[] arguments) {
    System.exit(commandLine().execute(arguments));
  }

  static CommandLine commandLine() {
    return new CommandLine(new Main());
  }

  @Override
  public void run() {
    spec.commandLine().usage(System.out);
  }
}
