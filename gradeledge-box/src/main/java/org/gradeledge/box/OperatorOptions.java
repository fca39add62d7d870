package org.gradeledge.box;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Connection options of the commands that call the operator port of a box. */
final class OperatorOptions {

  @Option(
      names = "--box",
      required = true,
      paramLabel = "HOST:PORT",
      description = "Operator port of any box.")
  private String boxAddress;

  @Option(
      names = "--token-file",
      paramLabel = "FILE",
      description = "File with the operator token; GRADELEDGE_TOKEN by default.")
  private Path tokenFile;

  @Option(
      names = "--ca-file",
      paramLabel = "FILE",
      description = "Trusted CA certificate, PEM; plain HTTP by default.")
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
      throw new UncheckedIOException("cannot read --token-file", e);
    }
  }
}
