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
 * Tells whether an upstream has ended or only a connection to it was lost. A process that ends is
 * the one that refuses the next connection; a network that resets connections, or an upstream that
 * does, mostly lets new ones through. All calls that an upstream took along share one question.
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
   * Creates one that asks over a caller.
   *
   * @param left whether an upstream has left, so that its end is no crash
   */
  public LivenessChecker(UpstreamCaller caller, Predicate<UpstreamRecord> left) {
    this.caller = caller;
    this.hasLeft = left;
  }

  /** Asks; the listener hears once, also before this returns. */
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
    caller.probe(upstream, proof -> completeCheck(upstream, proof));
  }

  private void completeCheck(UpstreamRecord upstream, LivenessResult proof) {
    Optional.ofNullable(pendingChecks.remove(upstream.incarnationId()))
        .ifPresent(listeners -> listeners.forEach(listener -> listener.accept(proof)));
  }
}
