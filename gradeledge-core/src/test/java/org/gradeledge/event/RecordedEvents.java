package org.gradeledge.event;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Records the lines of an event log, to be counted by tests. */
public final class RecordedEvents {

  private static final String MARKER = "last-line-so-far";

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final EventLog log =
      new EventLog(new PrintStream(bytes, true, StandardCharsets.UTF_8), "test");
  private int markerCount;

  /** Returns the event log. */
  public EventLog log() {
    return log;
  }

  /** Returns the number of lines of an event, after all queued lines are written. */
  public long count(String event) {
    String marker = MARKER + ++markerCount;
    log.change(marker).write();
    while (lines(marker) == 0) {
      Thread.onSpinWait();
    }
    return lines(event);
  }

  /** Returns the number of lines of an event with the given text value of a field. */
  public long count(String event, String field, String value) {
    count(event);
    String text = "\"" + field + "\":\"" + value + "\"";
    return bytes
        .toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.contains("\"event\":\"" + event + "\"") && line.contains(text))
        .count();
  }

  private long lines(String event) {
    return bytes
        .toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.contains("\"event\":\"" + event + "\""))
        .count();
  }
}
