package org.gradeledge.box;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the log entries of all boxes that mention one request, ordered by time. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = "Prints the log entries of the boxes for one request, ordered by time.")
final class ExplainCommand implements Callable<Integer> {

  private record LogEntry(String timestamp, JsonNode event) {}

  private final ObjectMapper mapper = new ObjectMapper();

  @Spec private CommandSpec spec;

  @Option(names = "--request", required = true, description = "Id of the request.")
  private String requestId;

  @Parameters(arity = "1..*", paramLabel = "LOG", description = "Log files of the boxes.")
  private List<Path> logFiles;

  @Override
  public Integer call() {
    try {
      List<LogEntry> entries =
          logFiles.stream()
              .flatMap(this::readEntries)
              .sorted(Comparator.comparing(LogEntry::timestamp))
              .toList();
      entries.forEach(entry -> print(entry, spec.commandLine().getOut()));
      if (entries.isEmpty()) {
        spec.commandLine().getErr().println("no log entry mentions request " + requestId);
      }
      return entries.isEmpty() ? ExitCode.FAILED.code() : ExitCode.OK.code();
    } catch (UncheckedIOException e) {
      spec.commandLine().getErr().println("cannot read log file: " + e.getMessage());
      return ExitCode.INVALID.code();
    }
  }

  private Stream<LogEntry> readEntries(Path logFile) {
    try {
      return new String(Files.readAllBytes(logFile), StandardCharsets.UTF_8)
          .lines()
          .filter(line -> line.contains(requestId))
          .flatMap(line -> parseEntry(line).stream());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Parses the JSON event of a line; a prefix added by a log collector is skipped. */
  private Optional<LogEntry> parseEntry(String line) {
    int jsonStart = line.indexOf('{');
    if (jsonStart < 0) {
      return Optional.empty();
    }
    try {
      JsonNode event = mapper.readTree(line.substring(jsonStart));
      return Optional.of(new LogEntry(event.path("at").asText(), event));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static void print(LogEntry entry, PrintWriter out) {
    StringBuilder text = new StringBuilder(entry.timestamp());
    text.append("  ").append(entry.event().path("box").asText());
    text.append("  ").append(entry.event().path("event").asText());
    entry
        .event()
        .fields()
        .forEachRemaining(
            field -> {
              if (!List.of("at", "box", "event").contains(field.getKey())) {
                text.append("  ").append(field.getKey()).append('=');
                text.append(field.getValue().asText());
              }
            });
    out.println(text);
  }
}
