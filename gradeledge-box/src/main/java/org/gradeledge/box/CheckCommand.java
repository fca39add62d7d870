package org.gradeledge.box;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.gradeledge.configuration.PipelineFileReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Validates a pipeline file locally, without contacting a box. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Validates a pipeline file; prints each fault on a line with its JSON Pointer.")
final class CheckCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "FILE", description = "Pipeline file, JSON.")
  private Path file;

  @Override
  public Integer call() {
    byte[] text;
    try {
      text = Files.readAllBytes(file);
    } catch (IOException e) {
      spec.commandLine().getErr().println(file + " is not a readable file");
      return ExitCode.INVALID.code();
    }
    return new PipelineFileReader()
        .read(text)
        .fold(
            faults -> {
              faults.forEach(
                  fault -> spec.commandLine().getErr().println(file + " " + fault.toLine()));
              return ExitCode.INVALID.code();
            },
            pipelineFile -> {
              spec.commandLine().getOut().println(file + " is valid");
              return ExitCode.OK.code();
            });
  }
}
