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
    Path one = writeLog("one", line(2, "b-1", "request-ended", "\"request\":\"r1\",\"ms\":7"));
    Path two =
        writeLog(
            "two",
            "  12.5 b-2 "
                + line(1, "b-2", "pieces-failed", "\"requests\":\"r0,r1\"")
                + line(3, "b-2", "request-ended", "\"request\":\"r2\"")
                + "broken { r1");

    StringWriter out = new StringWriter();
    int code = run(out, "--request", "r1", one.toString(), two.toString());

    assertThat(code).isZero();
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
    CommandLine line = Main.commandLine();
    line.setOut(new PrintWriter(out, true));
    line.setErr(new PrintWriter(new StringWriter()));
    String[] all = new String[arguments.length + 1];
    all[0] = "explain";
    System.arraycopy(arguments, 0, all, 1, arguments.length);
    return line.execute(all);
  }

  private static String line(int at, String box, String event, String more) {
    return String.format(
        "{\"at\":\"%d\",\"box\":\"%s\",\"event\":\"%s\",%s}%n", at, box, event, more);
  }

  private Path writeLog(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }
}
