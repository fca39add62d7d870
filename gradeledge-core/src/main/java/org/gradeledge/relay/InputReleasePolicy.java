package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gradeledge.time.MonotonicClock;

/**
 * When results that requests take as inputs are given up at the upstreams that keep them: a moment
 * after a request was sent, since an upstream fetches the inputs before it does anything else. Room
 * for results is what binds stage work under load, and until the first event of an answer it would
 * be taken for another 180 ms (median) to 450 ms (90th percentile).
 *
 * <p>An upstream that says that inputs were gone proves the guess wrong; then inputs are kept until
 * the first event for a while. Confined to the event loop.
 */
final class InputReleasePolicy {

  /** Ten times what a call's inputs of some 5 MB need over a link of 10,000 Mbit/s, and a hop. */
  private static final long FETCH_MILLIS = 80;

  /** About the length of a burst, in which a busy upstream lets requests wait. */
  private static final long SUSPENSION_MILLIS = 5_000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Map<String, Long> suspendedUntilNanos = new HashMap<>();

  InputReleasePolicy(EventLoop loop, MonotonicClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  /** Runs an action once an upstream of a service that was sent a request has its inputs. */
  void scheduleRelease(String service, Runnable action) {
    if (!isSuspended(service)) {
      loop.schedule(action, FETCH_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Notes that an upstream of a service did not find the inputs of a request any more. */
  void suspendEarlyRelease(String service) {
    suspendedUntilNanos.put(service, clock.nanos() + SUSPENSION_MILLIS * NANOS_PER_MILLI);
  }

  private boolean isSuspended(String service) {
    Long until = suspendedUntilNanos.get(service);
    return until != null && until - clock.nanos() > 0;
  }
}
