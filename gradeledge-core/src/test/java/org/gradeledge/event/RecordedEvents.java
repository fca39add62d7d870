package org.gradeledge.event;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** A log whose lines a test counts. */
public final class RecordedEvents {

  private static final String MARKER = "last-line-so-far";

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final EventLog log =
      new EventLog(new PrintStream(bytes, true, StandardCharsets.UTF_8), "test");
  private int markerCount;

  /** Returns the log. */
  public EventLog log() {
    return log;
  }

  /** Returns how many lines of an event were written, once all so far are. */
  public long count(String event) {
    String last = MARKER + ++markerCount;
    log.change(last).write();
    while (lines(last) == 0) {
      Thread.onSpinWait();
    }
    return lines(event);
  }

  private long lines(String event) {
    return bytes
        .toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.contains("\"event\":\"" + event + "\""))
        .count();
  }
}
