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
final class InputRelease {

  /** Ten times what a call's inputs of some 5 MB need over a link of 10,000 Mbit/s, and a hop. */
  private static final long FETCHING_MILLIS = 80;

  /** About the length of a burst, in which a busy upstream lets requests wait. */
  private static final long CAUTIOUS_MILLIS = 5_000;

  private static final long NANOS_OF_MILLI = 1_000_000;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Map<String, Long> cautiousUntilNanos = new HashMap<>();

  InputRelease(EventLoop loop, MonotonicClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  /** Runs an action once an upstream of a service that was sent a request has its inputs. */
  void afterFetching(String service, Runnable action) {
    if (!cautious(service)) {
      loop.schedule(action, FETCHING_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Notes that an upstream of a service did not find the inputs of a request any more. */
  void inputsWereGone(String service) {
    cautiousUntilNanos.put(service, clock.nanos() + CAUTIOUS_MILLIS * NANOS_OF_MILLI);
  }

  private boolean cautious(String service) {
    Long until = cautiousUntilNanos.get(service);
    return until != null && until - clock.nanos() > 0;
  }
}
