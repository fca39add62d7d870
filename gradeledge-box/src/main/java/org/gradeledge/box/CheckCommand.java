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

/** Checks a pipeline file without any box. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Checks a pipeline file; prints one line a fault with its JSON Pointer.")
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
      spec.commandLine().getErr().println(file + " must be a readable file");
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
            valid -> {
              spec.commandLine().getOut().println(file + " is valid");
              return ExitCode.OK.code();
            });
  }
}
