package org.gradeledge.standin.fleet;

import java.net.Socket;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * Makes an engine fall silent: its streams pause and go on later, or open connections carry nothing
 * any more without being reset while new ones work. Reports how far each run is. Thread-safe.
 */
public final class EngineSilence {

  private static final int NEVER = Integer.MAX_VALUE;

  private final Map<String, Integer> eventsByRun = new ConcurrentHashMap<>();
  private final Set<Socket> severed =
      Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));
  private int pauseAfter = NEVER;
  private int severAfter = NEVER;

  /** Pauses each stream after the given number of its events until {@link #resume}. */
  public synchronized void pauseAfter(int events) {
    pauseAfter = events;
  }

  /** Severs the connection of each stream after the given number of its events. */
  public synchronized void severAfter(int events) {
    severAfter = events;
  }

  /** Continues all paused streams; neither pauses nor severs further ones. */
  public synchronized void resume() {
    pauseAfter = NEVER;
    severAfter = NEVER;
    notifyAll();
  }

  /** Severs connections for good; the engine goes on with what it received on them. */
  void sever(Iterable<Socket> connections) {
    connections.forEach(severed::add);
  }

  boolean isSevered(Socket connection) {
    return severed.contains(connection);
  }

  /** Records an event of a run, and pauses the run or severs its connection if that is due. */
  void beforeEvent(String run, int eventsBefore, Socket connection) throws InterruptedException {
    eventsByRun.put(run, eventsBefore);
    if (eventsBefore >= severAfter()) {
      severed.add(connection);
    }
    awaitResumed(eventsBefore);
    eventsByRun.put(run, eventsBefore + 1);
  }

  private synchronized int severAfter() {
    return severAfter;
  }

  private synchronized void awaitResumed(int eventsBefore) throws InterruptedException {
    while (eventsBefore >= pauseAfter) {
      wait();
    }
  }

  void runEnded(String run) {
    eventsByRun.remove(run);
  }

  /** Returns the runs in the form of an engine's report. */
  String report() {
    String runs =
        eventsByRun.entrySet().stream()
            .map(run -> "[\"" + run.getKey() + "\",0," + run.getValue() + ",5]")
            .collect(Collectors.joining(","));
    return "{\"waiting\":0,\"running\":" + eventsByRun.size() + ",\"runs\":[" + runs + "]}";
  }
}
