package org.gradeledge.box;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** How a command reaches the operators' port of a box. */
final class OperatorOptions {

  @Option(
      names = "--box",
      required = true,
      paramLabel = "HOST:PORT",
      description = "Operators' port of any box.")
  private String boxAddress;

  @Option(
      names = "--token-file",
      paramLabel = "FILE",
      description = "File with the operator's token; GRADELEDGE_TOKEN where not given.")
  private Path tokenFile;

  @Option(
      names = "--ca-file",
      paramLabel = "FILE",
      description = "Certificate to trust, PEM; plain HTTP where not given.")
  private Path caFile;

  OperatorClient createClient() {
    return new OperatorClient(boxAddress, readToken(), caFile);
  }

  private String readToken() {
    if (tokenFile == null) {
      String token = System.getenv("GRADELEDGE_TOKEN");
      return token == null ? "" : token;
    }
    try {
      return Files.readString(tokenFile).strip();
    } catch (IOException e) {
      throw new UncheckedIOException("--token-file must be readable", e);
    }
  }
}
