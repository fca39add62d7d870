package org.gradeledge.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Boxes in virtual time whose quarantines exchange updates with a random delay. */
final class SimulatedBoxes {

  private record Event(long atMillis, long order, Runnable action) {}

  private final long maxPropagationMillis;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::atMillis).thenComparing(Event::order));
  private final List<Quarantine> quarantines = new ArrayList<>();
  private long nowMillis;
  private long order;

  SimulatedBoxes(int boxCount, long maxPropagationMillis, Random random) {
    this.maxPropagationMillis = maxPropagationMillis;
    this.random = random;
    for (int box = 0; box < boxCount; box++) {
      quarantines.add(new Quarantine(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis)));
    }
  }

  List<Quarantine> quarantines() {
    return quarantines;
  }

  /** Returns the quarantine of a random box. */
  Quarantine randomQuarantine() {
    return quarantines.get(random.nextInt(quarantines.size()));
  }

  long nowMillis() {
    return nowMillis;
  }

  /** Schedules an action; actions of the same time run in the order in which they were added. */
  void schedule(long millis, Runnable action) {
    events.add(new Event(nowMillis + millis, order++, action));
  }

  /** Sends what a box has to report to all others. */
  void broadcast(Quarantine sender) {
    SuspectUpdate update = sender.takeUpdate();
    if (!update.isEmpty()) {
      quarantines.stream()
          .filter(box -> box != sender)
          .forEach(
              box ->
                  schedule(
                      1 + random.nextInt((int) maxPropagationMillis), () -> box.merge(update)));
    }
  }

  /** Runs all scheduled actions. */
  void run() {
    while (!events.isEmpty()) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
  }
}
