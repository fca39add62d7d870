package org.gradeledge.standin.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.PipelineFileReader;

/** Reads pipeline files that must be valid. */
public abstract class PipelineFileLoader {

  private PipelineFileLoader() {}

  /** Returns the files as read. */
  public static List<PipelineFile> load(List<Path> files) {
    PipelineFileReader reader = new PipelineFileReader();
    return files.stream()
        .map(
            file ->
                reader
                    .read(readBytes(file))
                    .getOrElseThrow(faults -> new IllegalArgumentException(file + " " + faults)))
        .toList();
  }

  private static byte[] readBytes(Path file) {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
