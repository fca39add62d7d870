package org.gradeledge.event;

import java.io.OutputStream;
import java.io.PrintStream;

/** Logs for tests. */
public final class EventLogs {

  private EventLogs() {}

  /** Returns a log that is read by nobody. */
  public static EventLog silent() {
    return new EventLog(new PrintStream(OutputStream.nullOutputStream()), "test");
  }
}
