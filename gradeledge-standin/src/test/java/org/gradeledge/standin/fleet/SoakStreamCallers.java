package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** Runs callers of streams that resume them at any box until they are complete. Thread-safe. */
final class SoakStreamCallers {

  private static final int MAX_ATTEMPTS = 5;
  private static final long MAX_PAUSE_MILLIS = 400;
  private static final int MIN_SOUND_ENGINES = 2;

  /** Share of attempts in which the caller closes its connection after one event. */
  private static final int DISCONNECT_ONE_IN = 3;

  private final List<SoakBox> boxes;
  private final SoakVersionedEngines engines;
  private final Collection<SoakStream> streams = new ConcurrentLinkedQueue<>();
  private final Collection<ReceivedAnswer> answers = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new CopyOnWriteArrayList<>();
  private volatile boolean stopping;

  SoakStreamCallers(List<SoakBox> boxes, SoakVersionedEngines engines) {
    this.boxes = boxes;
    this.engines = engines;
  }

  Collection<SoakStream> streams() {
    return streams;
  }

  /** Returns the heads of the answers, and failures whole. */
  Collection<ReceivedAnswer> answers() {
    return answers;
  }

  void start(int callers) {
    for (int i = 0; i < callers; i++) {
      threads.add(DaemonThread.start("stream-caller", this::callUntilStopped));
    }
  }

  void stop() throws InterruptedException {
    stopping = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void callUntilStopped() {
    try {
      while (!stopping) {
        streams.add(receiveStream());
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException("callers are not interrupted", e);
    }
  }

  private SoakStream receiveStream() throws InterruptedException {
    StreamCaller caller = new StreamCaller();
    List<SoakStream.Attempt> attempts = new ArrayList<>();
    while (attempts.size() < MAX_ATTEMPTS && !caller.isComplete()) {
      attempts.add(attempt(caller));
      if (!caller.isComplete()) {
        SoakRun.pause(ThreadLocalRandom.current().nextLong(MAX_PAUSE_MILLIS));
      }
    }
    answers.addAll(caller.answers());
    return new SoakStream(caller.versions(), attempts, caller.endedIncomplete());
  }

  private SoakStream.Attempt attempt(StreamCaller caller) throws InterruptedException {
    boolean resumption = caller.hasBegun();
    int eventsBefore = caller.eventCount();
    boolean soundBefore = isVersionSound(caller);
    ThreadLocalRandom random = ThreadLocalRandom.current();
    SoakBox box = boxes.get(random.nextInt(boxes.size()));
    int maxEvents = random.nextInt(DISCONNECT_ONE_IN) == 0 ? 1 : FleetEngine.EVENTS;
    try {
      caller.send(box.callerPort(), FleetConfiguration.VERSIONS_PATH + "x", maxEvents);
    } catch (IOException e) {
      // The box is down or was killed; the caller comes back elsewhere.
    }
    return new SoakStream.Attempt(
        resumption, soundBefore && isVersionSound(caller), caller.eventCount() > eventsBefore);
  }

  private boolean isVersionSound(StreamCaller caller) {
    return caller.versions().stream()
        .allMatch(version -> engines.soundCount(version) >= MIN_SOUND_ENGINES);
  }
}
