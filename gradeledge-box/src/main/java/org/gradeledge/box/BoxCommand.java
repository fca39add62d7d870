package org.gradeledge.box;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.gradeledge.node.BoxPorts;
import org.gradeledge.node.GradeledgeBox;
import org.gradeledge.settings.BoxSettings;
import org.gradeledge.settings.SettingsReader;
import org.tinylog.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs an entry box until it is told to stop. */
@Command(
    name = "box",
    mixinStandardHelpOptions = true,
    description = "Runs an entry box; SIGTERM stops it without cutting a request.")
final class BoxCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Option(names = "--settings", required = true, description = "Settings file, JSON.")
  private Path settingsFile;

  @Option(names = "--check", description = "Checks the settings and starts nothing.")
  private boolean checkOnly;

  @Override
  public Integer call() {
    return new SettingsReader()
        .read(settingsFile)
        .fold(
            faults -> {
              faults.forEach(
                  fault ->
                      spec.commandLine().getErr().println(settingsFile + " " + fault.toLine()));
              return ExitCode.INVALID.code();
            },
            valid -> checkOnly ? ExitCode.OK.code() : run(valid));
  }

  private int run(BoxSettings valid) {
    GradeledgeBox box = new GradeledgeBox(valid);
    try {
      BoxPorts ports = box.start().block();
      Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(box), "drain"));
      spec.commandLine().getOut().println(readyLine(valid, ports));
      box.whenStopped().block();
      return ExitCode.OK.code();
    } catch (RuntimeException e) {
      Logger.error("the box cannot start: {}", e.getMessage());
      return ExitCode.FAILED.code();
    }
  }

  private static void drain(GradeledgeBox box) {
    box.drain();
    box.whenStopped().block();
    // A planned stop by signal ends with 0; without this the JVM would report the signal.
    Runtime.getRuntime().halt(ExitCode.OK.code());
  }

  private static String readyLine(BoxSettings settings, BoxPorts ports) {
    return String.format(
        "{\"box\":\"%s\",\"caller\":\"%s:%d\",\"operator\":\"%s:%d\",\"peer\":\"%s:%d\"}",
        settings.boxId(),
        settings.caller().host(),
        ports.callerPort(),
        settings.operator().host(),
        ports.operatorPort(),
        settings.peer().listen().host(),
        ports.peerPort());
  }
}
