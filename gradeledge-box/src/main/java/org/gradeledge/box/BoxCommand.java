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

/** Runs a box until it is drained or receives SIGTERM. */
@Command(
    name = "box",
    mixinStandardHelpOptions = true,
    description = "Runs a box; SIGTERM completes the requests in flight and stops it.")
final class BoxCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Option(names = "--settings", required = true, description = "Settings file, JSON.")
  private Path settingsFile;

  @Option(names = "--check", description = "Validates the settings without starting the box.")
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
            settings -> checkOnly ? ExitCode.OK.code() : run(settings));
  }

  private int run(BoxSettings settings) {
    GradeledgeBox box = new GradeledgeBox(settings);
    try {
      BoxPorts ports = box.start().block();
      Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(box), "drain"));
      spec.commandLine().getOut().println(readyLine(settings, ports));
      box.whenStopped().block();
      return ExitCode.OK.code();
    } catch (RuntimeException e) {
      Logger.error("could not run the box: {}", e.getMessage());
      return ExitCode.FAILED.code();
    }
  }

  private static void drain(GradeledgeBox box) {
    box.drain();
    box.whenStopped().block();
    // Without this, the JVM would return the exit code of the signal instead of 0.
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
