package org.gradeledge.standin;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** The command that runs a class of this test's class path in a small JVM of its own. */
public final class JavaCommand {

  private JavaCommand() {}

  /**
   * Returns the command.
   *
   * @param rest further options of the JVM, the class, then what it is given
   */
  public static List<String> of(String... rest) {
    Stream<String> java =
        Stream.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:-UsePerfData",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx96m",
            "-cp",
            System.getProperty("java.class.path"));
    return Stream.concat(java, Stream.of(rest)).toList();
  }
}
