package org.gradeledge.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicBoolean;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** The slots of an engine and the calls that wait for one, first come first. Thread-safe. */
final class SlotQueue {

  private final int slots;
  private final Deque<MonoSink<Runnable>> waiting = new ArrayDeque<>();
  private int running;

  SlotQueue(int slots) {
    this.slots = slots;
  }

  /** Waits for a slot; the value gives it back. */
  Mono<Runnable> acquire() {
    return Mono.create(
        sink -> {
          boolean free;
          synchronized (this) {
            free = running < slots;
            if (free) {
              running++;
            } else {
              waiting.add(sink);
            }
          }
          if (free) {
            sink.success(releaseOnce());
          } else {
            sink.onCancel(() -> removeWaiter(sink));
          }
        });
  }

  synchronized int running() {
    return running;
  }

  synchronized int waiting() {
    return waiting.size();
  }

  private Runnable releaseOnce() {
    AtomicBoolean done = new AtomicBoolean();
    return () -> {
      if (done.compareAndSet(false, true)) {
        MonoSink<Runnable> next;
        synchronized (this) {
          next = waiting.poll();
          if (next == null) {
            running--;
          }
        }
        if (next != null) {
          next.success(releaseOnce());
        }
      }
    };
  }

  private synchronized void removeWaiter(MonoSink<Runnable> sink) {
    waiting.remove(sink);
  }
}
