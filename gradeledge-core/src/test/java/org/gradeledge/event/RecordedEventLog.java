package org.gradeledge.event;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** An event log whose lines a test can read. */
public final class RecordedEventLog {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final EventLog log =
      new EventLog(new PrintStream(out, true, StandardCharsets.UTF_8), "test");

  /** Returns the log. */
  public EventLog eventLog() {
    return log;
  }

  /** Waits until an event with the given name is written and returns all lines with it. */
  public List<String> await(String event) {
    List<String> lines = lines(event);
    while (lines.isEmpty()) {
      Thread.onSpinWait();
      lines = lines(event);
    }
    return lines;
  }

  private List<String> lines(String event) {
    return out.toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.contains("\"event\":\"" + event + "\""))
        .toList();
  }
}
