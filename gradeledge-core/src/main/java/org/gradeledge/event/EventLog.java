package org.gradeledge.event;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Writes events as lines of JSON on a thread of its own. Writing an event never blocks: what does
 * not fit into the queue is left out and counted, and a line tells how many.
 *
 * <p>Events that led to a failed request or that change what the box believes may use the whole
 * queue; events of what went well only half of it. Thread-safe.
 *
 * @since 0.2
 */
public final class EventLog {

  private static final int QUEUE_LINES = 4096;

  private final PrintStream out;
  private final String box;
  private final Deque<String> queue = new ArrayDeque<>();
  private long droppedLines;

  /** Creates the log and starts its thread. */
  public EventLog(PrintStream out, String box) {
    this.out = out;
    this.box = box;
    Thread writer = new Thread(this::writeLines, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  /** Starts an event of a change of what the box believes. */
  public Event change(String name) {
    return new Event(this, name, true);
  }

  /** Starts an event of a request that was refused, failed or had to be helped. */
  public Event problem(String name) {
    return new Event(this, name, true);
  }

  /** Starts an event of a request that goes well. */
  public Event step(String name) {
    return new Event(this, name, false);
  }

  /** Waits until what is queued is written, at most for the time given. */
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

  /** An event that is being put together; it counts once {@link #write} is called. */
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

    /** Adds a text. */
    public Event with(String key, String value) {
      line.append(",\"").append(key).append("\":\"");
      ENCODER.quoteAsString(value, line);
      line.append('"');
      return this;
    }

    /** Adds a number. */
    public Event with(String key, long value) {
      line.append(",\"").append(key).append("\":").append(value);
      return this;
    }

    /** Hands the line to the writer. */
    public void write() {
      log.enqueue(line.append("}\n").toString(), important);
    }
  }

  /** Returns standard output as a stream of UTF-8 that does not flush by itself. */
  public static PrintStream standardOutput() {
    return new PrintStream(
        new java.io.FileOutputStream(java.io.FileDescriptor.out), false, StandardCharsets.UTF_8);
  }
}
