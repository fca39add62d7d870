package org.gradeledge.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Notifies listeners of changes of the known upstreams. A listener that fails does not prevent
 * others from being called. Confined to the event loop.
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

  /** Notifies of restored zones first, then of the change of the evacuated zones. */
  void notifyZonesChanged(Set<String> restoredZones) {
    if (!restoredZones.isEmpty()) {
      restored.forEach(listener -> notifySafely(() -> listener.accept(restoredZones)));
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
