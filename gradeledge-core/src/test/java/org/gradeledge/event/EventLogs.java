package org.gradeledge.event;

import java.io.OutputStream;
import java.io.PrintStream;

/** Creates event logs for tests. */
public final class EventLogs {

  private EventLogs() {}

  /** Returns a log that discards its output. */
  public static EventLog silent() {
    return new EventLog(new PrintStream(OutputStream.nullOutputStream()), "test");
  }
}
