package org.gradeledge.operator;

import io.vavr.control.Either;
import java.util.List;
import java.util.UUID;
import org.gradeledge.change.Submission;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.PipelineFileReader;
import org.gradeledge.document.Fault;
import reactor.netty.http.server.HttpServerRequest;

/** Makes a submission of an operator's request, or says everything that is wrong with it. */
final class SubmissionRequestReader {

  private static final String ANY = "*";

  private final PipelineFileReader files = new PipelineFileReader();

  Either<List<Fault>, Submission> read(HttpServerRequest request, String operator, byte[] body) {
    return files
        .read(body)
        .flatMap(file -> checkName(request, file))
        .flatMap(
            file ->
                baseVersion(request)
                    .flatMap(
                        base ->
                            submissionId(request)
                                .map(id -> new Submission(id, operator, base, body, file))));
  }

  private static Either<List<Fault>, PipelineFile> checkName(
      HttpServerRequest request, PipelineFile file) {
    return file.pipeline().equals(request.param("pipeline"))
        ? Either.right(file)
        : fault("/pipeline", "must be the name in the address");
  }

  private static Either<List<Fault>, Long> baseVersion(HttpServerRequest request) {
    String ifNoneMatch = request.requestHeaders().get("If-None-Match");
    String ifMatch = request.requestHeaders().get("If-Match");
    if (ANY.equals(ifNoneMatch) && ifMatch == null) {
      return Either.right(0L);
    }
    if (ifMatch == null || ifNoneMatch != null) {
      return fault("", "If-Match: \"<version>\" or If-None-Match: * must be given");
    }
    try {
      return Either.right(Long.parseLong(ifMatch.strip().replace("\"", "")));
    } catch (NumberFormatException e) {
      return fault("", "If-Match must be a version in double quotes");
    }
  }

  private static Either<List<Fault>, String> submissionId(HttpServerRequest request) {
    String header = request.requestHeaders().get("Gradeledge-Submission-Id");
    if (header == null) {
      return Either.right(UUID.randomUUID().toString());
    }
    try {
      return Either.right(UUID.fromString(header.strip()).toString());
    } catch (IllegalArgumentException e) {
      return fault("", "Gradeledge-Submission-Id must be a UUID");
    }
  }

  private static <T> Either<List<Fault>, T> fault(String pointer, String message) {
    return Either.left(List.of(new Fault(pointer, message)));
  }
}
