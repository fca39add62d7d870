package org.gradeledge.standin;

import org.gradeledge.standin.demo.DemoFilesCommand;
import org.gradeledge.standin.demo.PlainPipelineCommand;
import org.gradeledge.standin.engine.EnginesCommand;
import org.gradeledge.standin.fleet.FleetCommand;
import org.gradeledge.standin.load.LoadCommand;
import org.gradeledge.standin.measure.ChangesCommand;
import org.gradeledge.standin.measure.OverheadCommand;
import org.gradeledge.standin.measure.PoliciesCommand;
import org.gradeledge.standin.platform.PlatformCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the command line of the stand-ins and measurements. */
@Command(
    name = "gradeledge-standin",
    mixinStandardHelpOptions = true,
    description = "Stand-ins, load generator and measurements for tests of gradeledge.",
    subcommands = {
      PlatformCommand.class,
      EnginesCommand.class,
      DemoFilesCommand.class,
      PlainPipelineCommand.class,
      LoadCommand.class,
      OverheadCommand.class,
      ChangesCommand.class,
      PoliciesCommand.class,
      FleetCommand.class
    })
public final class Main {

  private Main() {}

  /** Runs the command line and exits with its code. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new Main()).execute(arguments));
  }
}
