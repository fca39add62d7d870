package org.gradeledge.configuration;

import io.vavr.control.Either;
import java.util.List;
import org.gradeledge.document.DocumentReader;
import org.gradeledge.document.Fault;

/**
 * Reads and checks pipeline files.
 *
 * <p>All faults of the schema come back at once; where there are none, all faults of meaning do.
 * Never throws for bad text. Thread-safe.
 *
 * @since 0.1
 */
public final class PipelineFileReader {

  private final DocumentReader<PipelineFile> reader =
      new DocumentReader<>(PipelineFile.class, "pipeline.schema.json");

  private final List<PipelineCheck> checks =
      List.of(
          new UniqueNamesCheck(),
          new StageOrderCheck(),
          new StageUpstreamsCheck(),
          new DeadlineCheck());

  /** Returns the pipeline in a text, or everything that is wrong with it. */
  public Either<List<Fault>, PipelineFile> read(byte[] text) {
    return reader.read(text).flatMap(this::checkSemantics);
  }

  private Either<List<Fault>, PipelineFile> checkSemantics(PipelineFile file) {
    List<Fault> faults = checks.stream().flatMap(check -> check.findFaults(file)).toList();
    return faults.isEmpty() ? Either.right(file) : Either.left(faults);
  }
}
