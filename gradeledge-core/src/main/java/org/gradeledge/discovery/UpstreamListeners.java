package org.gradeledge.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Who hears of changes among the upstreams. One that fails keeps no other from hearing: each has
 * its own part to give up. Confined to the event loop.
 */
final class UpstreamListeners {

  private final List<Consumer<UpstreamRecord>> retired = new ArrayList<>();
  private final List<Consumer<UpstreamRecord>> replaced = new ArrayList<>();
  private final List<Consumer<UpstreamRecord>> cold = new ArrayList<>();
  private final List<Consumer<Set<String>>> restored = new ArrayList<>();
  private final List<Runnable> zonesChanged = new ArrayList<>();
  private final UpstreamChangeLog log;

  UpstreamListeners(UpstreamChangeLog log) {
    this.log = log;
  }

  void onRetired(Consumer<UpstreamRecord> listener) {
    retired.add(listener);
  }

  void onReplaced(Consumer<UpstreamRecord> listener) {
    replaced.add(listener);
  }

  void onCold(Consumer<UpstreamRecord> listener) {
    cold.add(listener);
  }

  void onRestored(Consumer<Set<String>> listener) {
    restored.add(listener);
  }

  void onZonesChanged(Runnable listener) {
    zonesChanged.add(listener);
  }

  void notifyRetired(UpstreamRecord upstream) {
    retired.forEach(listener -> notifySafely(() -> listener.accept(upstream)));
  }

  void notifyReplaced(UpstreamRecord upstream) {
    replaced.forEach(listener -> notifySafely(() -> listener.accept(upstream)));
  }

  void notifyCold(UpstreamRecord upstream) {
    cold.forEach(listener -> notifySafely(() -> listener.accept(upstream)));
  }

  /** Tells of zones that take new work again before it tells that there are other zones now. */
  void notifyZonesChanged(Set<String> zonesRestored) {
    if (!zonesRestored.isEmpty()) {
      restored.forEach(listener -> notifySafely(() -> listener.accept(zonesRestored)));
    }
    zonesChanged.forEach(this::notifySafely);
  }

  private void notifySafely(Runnable listener) {
    try {
      listener.run();
    } catch (RuntimeException failure) {
      log.logListenerFailure(failure);
    }
  }
}
