package org.gradeledge.configuration;

import io.vavr.control.Either;
import java.util.List;
import org.gradeledge.document.DocumentReader;
import org.gradeledge.document.Fault;

/**
 * Parses and validates pipeline files.
 *
 * <p>Returns all schema violations or, if there are none, all semantic faults. Never throws on
 * invalid input. Thread-safe.
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

  /** Returns the parsed pipeline, or all faults of the text. */
  public Either<List<Fault>, PipelineFile> read(byte[] text) {
    return reader.read(text).flatMap(this::checkSemantics);
  }

  private Either<List<Fault>, PipelineFile> checkSemantics(PipelineFile file) {
    List<Fault> faults = checks.stream().flatMap(check -> check.findFaults(file)).toList();
    return faults.isEmpty() ? Either.right(file) : Either.left(faults);
  }
}
