package org.gradeledge.box;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class ExplainCommandTests {

  @TempDir private Path directory;

  @Test
  void printsEntriesOfAllLogsInTimeOrder() throws IOException {
    Path firstLog =
        writeLog("one", entry(2, "b-1", "request-ended", "\"request\":\"r1\",\"ms\":7"));
    Path secondLog =
        writeLog(
            "two",
            "  12.5 b-2 "
                + entry(1, "b-2", "pieces-failed", "\"requests\":\"r0,r1\"")
                + entry(3, "b-2", "request-ended", "\"request\":\"r2\"")
                + "broken { r1");

    StringWriter out = new StringWriter();
    int exitCode = run(out, "--request", "r1", firstLog.toString(), secondLog.toString());

    assertThat(exitCode).isZero();
    assertThat(out.toString().lines())
        .containsExactly(
            "1  b-2  pieces-failed  requests=r0,r1", "2  b-1  request-ended  request=r1  ms=7");
  }

  @Test
  void failsIfNoLogContainsTheRequest() throws IOException {
    assertThat(run(new StringWriter(), "--request", "r9", writeLog("one", "{}").toString()))
        .isEqualTo(1);
  }

  @Test
  void failsIfLogIsUnreadable() {
    assertThat(run(new StringWriter(), "--request", "r9", directory + "/none")).isEqualTo(2);
  }

  private static int run(StringWriter out, String... arguments) {
    CommandLine commandLine = Main.commandLine();
    commandLine.setOut(new PrintWriter(out, true));
    commandLine.setErr(new PrintWriter(new StringWriter()));
    String[] commandAndArguments = new String[arguments.length + 1];
    commandAndArguments[0] = "explain";
    System.arraycopy(arguments, 0, commandAndArguments, 1, arguments.length);
    return commandLine.execute(commandAndArguments);
  }

  private static String entry(int at, String box, String event, String otherFields) {
    return String.format(
        "{\"at\":\"%d\",\"box\":\"%s\",\"event\":\"%s\",%s}%n", at, box, event, otherFields);
  }

  private Path writeLog(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }
}
