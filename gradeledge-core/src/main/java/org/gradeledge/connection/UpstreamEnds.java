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
public final class UpstreamEnds {

  private final UpstreamCaller caller;
  private final Predicate<UpstreamRecord> left;
  private final Map<String, List<Consumer<UpstreamProof>>> asking = new HashMap<>();

  /**
   * Creates one that asks over a caller.
   *
   * @param left whether an upstream has left, so that its end is no crash
   */
  public UpstreamEnds(UpstreamCaller caller, Predicate<UpstreamRecord> left) {
    this.caller = caller;
    this.left = left;
  }

  /** Asks; the listener hears once, also before this returns. */
  public void prove(UpstreamRecord upstream, Consumer<UpstreamProof> listener) {
    if (left.test(upstream)) {
      listener.accept(UpstreamProof.LEFT);
      return;
    }
    List<Consumer<UpstreamProof>> listeners = asking.get(upstream.start());
    if (listeners != null) {
      listeners.add(listener);
      return;
    }
    asking.put(upstream.start(), new ArrayList<>(List.of(listener)));
    caller.probe(upstream, proof -> tell(upstream, proof));
  }

  private void tell(UpstreamRecord upstream, UpstreamProof proof) {
    Optional.ofNullable(asking.remove(upstream.start()))
        .ifPresent(listeners -> listeners.forEach(listener -> listener.accept(proof)));
  }
}
