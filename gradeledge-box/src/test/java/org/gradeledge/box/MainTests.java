package org.gradeledge.box;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

class MainTests {

  private static final Path EXAMPLES = Path.of("..", "examples");
  private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";

  @TempDir private Path directory;
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  static Stream<Path> exampleFiles() throws IOException {
    try (Stream<Path> files = Files.walk(EXAMPLES)) {
      return files.filter(file -> file.toString().endsWith(".json")).toList().stream();
    }
  }

  @ParameterizedTest
  @MethodSource("examples")
  void acceptsExampleFiles(Path file) {
    assertThat(run("check", file.toString())).isZero();
  }

  @Test
  void printsOneLinePerFault() throws IOException {
    Path faulty = directory.resolve("faulty.json");
    String good = Files.readString(exampleFiles().findFirst().orElseThrow());
    Files.writeString(
        faulty, good.replace("\"port\": 1,", "\"port\": 0,").replace("\"slots\"", "\"slotz\""));

    assertThat(run("check", faulty.toString())).isEqualTo(2);
    List<String> lines = err.toString().lines().toList();
    assertThat(lines).allSatisfy(line -> assertThat(line).contains(" /upstreams/"));
    assertThat(lines).anySatisfy(line -> assertThat(line).contains("/upstreams/0/port"));
    assertThat(lines).anySatisfy(line -> assertThat(line).contains("/upstreams/0/slotz"));
  }

  @Test
  void rejectsInvalidSettings() throws IOException {
    Path settings = Files.writeString(directory.resolve("box.json"), "{\"boxId\":1}");
    assertThat(run("box", "--settings", settings.toString())).isEqualTo(2);
    assertThat(err.toString()).contains("/boxId");
  }

  @ParameterizedTest
  @ValueSource(strings = {"status", "audit", "drain", "show"})
  void returnsUnreachableExitCode(String command) {
    assertThat(run(command, "--box", UNREACHABLE_ADDRESS)).isEqualTo(7);
  }

  @Test
  void applyReturnsUnreachableExitCode() throws IOException {
    String file = exampleFiles().findFirst().orElseThrow().toString();
    assertThat(run("apply", file, "--box", UNREACHABLE_ADDRESS)).isEqualTo(7);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"apply --box", "history not-a-uuid --box 127.0.0.1:1", "no-such", "check"})
  void rejectsInvalidArguments(String line) {
    assertThat(run(line.split(" "))).isEqualTo(2);
  }

  @Test
  void printsHelpAndCompletionScript() {
    assertThat(run("--help")).isZero();
    assertThat(out.toString()).contains("Exit codes:", "apply");
    assertThat(run("generate-completion")).isZero();
    assertThat(out.toString()).contains("complete");
  }

  private int run(String... arguments) {
    CommandLine commandLine = Main.commandLine();
    commandLine.setOut(new PrintWriter(out, true));
    commandLine.setErr(new PrintWriter(err, true));
    return commandLine.execute(arguments);
  }
}
