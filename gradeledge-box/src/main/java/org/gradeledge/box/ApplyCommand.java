package org.gradeledge.box;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.UUID;
import org.gradeledge.document.JsonMappers;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Submits a whole pipeline file. */
@Command(
    name = "apply",
    mixinStandardHelpOptions = true,
    description = "Submits a pipeline file; it takes effect everywhere or is refused.")
final class ApplyCommand extends AbstractOperatorCommand {

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;
  private static final int PRECONDITION_FAILED = 412;
  private static final int UNPROCESSABLE_CONTENT = 422;

  @Parameters(paramLabel = "FILE", description = "Pipeline file, JSON.")
  private Path file;

  @Option(
      names = "--base",
      paramLabel = "N",
      description = "Version that it replaces; a new pipeline where not given.")
  private long baseVersion;

  @Option(
      names = "--submission-id",
      paramLabel = "UUID",
      description = "The same id again gives the same verdict; random where not given.")
  private UUID submissionId = UUID.randomUUID();

  @Override
  OperatorClient.Reply call(OperatorClient client) {
    try {
      byte[] text = Files.readAllBytes(file);
      JsonNode name = JsonMappers.json().readTree(text).path("pipeline");
      return client.call(
          HttpMethod.PUT,
          "/v1/pipelines/" + name.asText("unnamed"),
          Map.of(
              baseVersion == 0 ? "If-None-Match" : "If-Match",
              baseVersion == 0 ? "*" : "\"" + baseVersion + "\"",
              "Gradeledge-Submission-Id",
              submissionId.toString()),
          text);
    } catch (IOException e) {
      throw new UncheckedIOException(file + " must be a readable JSON file", e);
    }
  }

  @Override
  ExitCode exitCode(OperatorClient.Reply reply) {
    return switch (reply.status()) {
      case OK -> ExitCode.OK;
      case ACCEPTED -> ExitCode.UNKNOWN;
      case CONFLICT -> ExitCode.LOST_RACE;
      case PRECONDITION_FAILED -> ExitCode.STALE_BASE;
      case UNPROCESSABLE_CONTENT -> ExitCode.INVALID;
      default -> ExitCode.REFUSED;
    };
  }
}
