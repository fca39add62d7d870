package org.gradeledge.event;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Writes events as lines of JSON on a dedicated thread. Writing an event never blocks: events that
 * do not fit into the queue are dropped, and a line reports their number.
 *
 * <p>State changes and problems may fill the whole queue, other events only half of it.
 * Thread-safe.
 *
 * @since 0.2
 */
public final class EventLog {

  private static final int QUEUE_LINES = 4096;

  private final PrintStream out;
  private final String box;
  private final Deque<String> queue = new ArrayDeque<>();
  private long droppedLines;

  /** Creates the log and starts its writer thread. */
  public EventLog(PrintStream out, String box) {
    this.out = out;
    this.box = box;
    Thread writer = new Thread(this::writeLines, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  /** Starts an event for a change of the state that this box has recorded. */
  public Event change(String name) {
    return new Event(this, name, true);
  }

  /** Starts an event for a problem, such as a refused or failed request. */
  public Event problem(String name) {
    return new Event(this, name, true);
  }

  /** Starts an event for a step of a successful request. */
  public Event step(String name) {
    return new Event(this, name, false);
  }

  /** Waits until all queued events are written or the given time has passed. */
  public synchronized void drain(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (!queue.isEmpty() && System.nanoTime() < end) {
      wait(10);
    }
  }

  synchronized void enqueue(String line, boolean important) {
    if (queue.size() >= (important ? QUEUE_LINES : QUEUE_LINES / 2)) {
      droppedLines++;
      return;
    }
    queue.add(line);
    if (queue.size() == 1) {
      notifyAll();
    }
  }

  String box() {
    return box;
  }

  private void writeLines() {
    try {
      while (true) {
        out.print(takeQueuedLines());
        out.flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized String takeQueuedLines() throws InterruptedException {
    while (queue.isEmpty()) {
      wait();
    }
    StringBuilder lines = new StringBuilder();
    if (droppedLines > 0) {
      lines.append("{\"event\":\"left-out\",\"box\":\"").append(box).append("\",\"lines\":");
      lines.append(droppedLines).append("}\n");
      droppedLines = 0;
    }
    for (String line = queue.poll(); line != null; line = queue.poll()) {
      lines.append(line);
    }
    notifyAll();
    return lines.toString();
  }

  /** Builder for an event, which is logged when {@link #write} is called. */
  public static final class Event {

    private static final JsonStringEncoder ENCODER = JsonStringEncoder.getInstance();

    private final EventLog log;
    private final boolean important;
    private final StringBuilder line = new StringBuilder(192);

    private Event(EventLog log, String name, boolean important) {
      this.log = log;
      this.important = important;
      line.append("{\"at\":\"").append(Instant.now()).append("\",\"box\":\"").append(log.box());
      line.append("\",\"event\":\"").append(name).append('"');
    }

    /** Adds a string field. */
    public Event with(String key, String value) {
      line.append(",\"").append(key).append("\":\"");
      ENCODER.quoteAsString(value, line);
      line.append('"');
      return this;
    }

    /** Adds a number field. */
    public Event with(String key, long value) {
      line.append(",\"").append(key).append("\":").append(value);
      return this;
    }

    /** Adds the event to the queue of the writer. */
    public void write() {
      log.enqueue(line.append("}\n").toString(), important);
    }
  }

  /** Returns standard output as a UTF-8 stream without automatic flushing. */
  public static PrintStream standardOutput() {
    return new PrintStream(
        new java.io.FileOutputStream(java.io.FileDescriptor.out), false, StandardCharsets.UTF_8);
  }
}
