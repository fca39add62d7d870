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
  private static final int UNKNOWN = 202;
  private static final int LOST_RACE = 409;
  private static final int STALE_BASE = 412;
  private static final int INVALID = 422;

  @Parameters(paramLabel = "FILE", description = "Pipeline file, JSON.")
  private Path file;

  @Option(
      names = "--base",
      paramLabel = "N",
      description = "Version that it replaces; a new pipeline where not given.")
  private long base;

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
              base == 0 ? "If-None-Match" : "If-Match",
              base == 0 ? "*" : "\"" + base + "\"",
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
      case UNKNOWN -> ExitCode.UNKNOWN;
      case LOST_RACE -> ExitCode.LOST_RACE;
      case STALE_BASE -> ExitCode.STALE_BASE;
      case INVALID -> ExitCode.INVALID;
      default -> ExitCode.REFUSED;
    };
  }
}
