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

/** Prints the story of one request from the logs of all boxes, in the order of time. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = "Prints what the boxes' logs tell of one request, in order.")
final class ExplainCommand implements Callable<Integer> {

  private record LogEntry(String timestamp, JsonNode event) {}

  private final ObjectMapper mapper = new ObjectMapper();

  @Spec private CommandSpec spec;

  @Option(names = "--request", required = true, description = "Id of the request.")
  private String requestId;

  @Parameters(arity = "1..*", paramLabel = "LOG", description = "Logs of boxes.")
  private List<Path> logFiles;

  @Override
  public Integer call() {
    try {
      List<LogEntry> lines =
          logFiles.stream()
              .flatMap(this::readEntries)
              .sorted(Comparator.comparing(LogEntry::timestamp))
              .toList();
      lines.forEach(line -> print(line, spec.commandLine().getOut()));
      if (lines.isEmpty()) {
        spec.commandLine().getErr().println("no line names request " + requestId);
      }
      return lines.isEmpty() ? ExitCode.FAILED.code() : ExitCode.OK.code();
    } catch (UncheckedIOException e) {
      spec.commandLine().getErr().println("cannot read: " + e.getMessage());
      return ExitCode.INVALID.code();
    }
  }

  private Stream<LogEntry> readEntries(Path log) {
    try {
      return new String(Files.readAllBytes(log), StandardCharsets.UTF_8)
          .lines()
          .filter(line -> line.contains(requestId))
          .flatMap(line -> parseEntry(line).stream());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** What stands before the event, such as a collector's own time, is passed over. */
  private Optional<LogEntry> parseEntry(String line) {
    int start = line.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode event = mapper.readTree(line.substring(start));
      return Optional.of(new LogEntry(event.path("at").asText(), event));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static void print(LogEntry line, PrintWriter out) {
    StringBuilder text = new StringBuilder(line.timestamp());
    text.append("  ").append(line.event().path("box").asText());
    text.append("  ").append(line.event().path("event").asText());
    line.event()
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
