package org.gradeledge.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Determines whether an upstream has crashed or only a connection to it was lost. A crashed process
 * refuses a new connection, whereas after a network reset a new connection usually succeeds.
 * Concurrent checks of one upstream share a single probe.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.3
 */
public final class LivenessChecker {

  private final UpstreamCaller caller;
  private final Predicate<UpstreamRecord> hasLeft;
  private final Map<String, List<Consumer<LivenessResult>>> pendingChecks = new HashMap<>();

  /**
   * Creates a checker that probes upstreams with a caller.
   *
   * @param hasLeft whether an upstream has left, so that its end is not a crash
   */
  public LivenessChecker(UpstreamCaller caller, Predicate<UpstreamRecord> left) {
    this.caller = caller;
    this.hasLeft = left;
  }

  /** Checks an upstream; the listener is called once, possibly before this method returns. */
  public void check(UpstreamRecord upstream, Consumer<LivenessResult> listener) {
    if (hasLeft.test(upstream)) {
      listener.accept(LivenessResult.LEFT);
      return;
    }
    List<Consumer<LivenessResult>> listeners = pendingChecks.get(upstream.incarnationId());
    if (listeners != null) {
      listeners.add(listener);
      return;
    }
    pendingChecks.put(upstream.incarnationId(), new ArrayList<>(List.of(listener)));
    caller.probe(upstream, result -> completeCheck(upstream, result));
  }

  private void completeCheck(UpstreamRecord upstream, LivenessResult result) {
    Optional.ofNullable(pendingChecks.remove(upstream.incarnationId()))
        .ifPresent(listeners -> listeners.forEach(listener -> listener.accept(result)));
  }
}
