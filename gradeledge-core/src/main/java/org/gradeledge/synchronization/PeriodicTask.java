package org.gradeledge.synchronization;

import java.time.Duration;
import java.util.function.Supplier;
import org.gradeledge.metrics.BoxMetrics;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Runs a task repeatedly with a fixed delay. A failed run is counted and does not stop the task.
 *
 * @since 0.1
 */
public final class PeriodicTask implements Disposable {

  private final Disposable running;
  private volatile boolean failing;

  private PeriodicTask(
      String name, Duration period, BoxMetrics metrics, Supplier<Mono<Void>> task) {
    this.running =
        Mono.defer(task)
            .doOnSuccess(ignored -> failing = false)
            .onErrorResume(
                e -> {
                  recordFailure(name, metrics, e);
                  return Mono.empty();
                })
            .repeatWhen(completions -> completions.delayElements(period))
            .subscribe();
  }

  /** Starts a task without an initial delay. */
  public static PeriodicTask start(
      String name, Duration period, BoxMetrics metrics, Supplier<Mono<Void>> task) {
    return new PeriodicTask(name, period, metrics, task);
  }

  @Override
  public void dispose() {
    running.dispose();
  }

  @Override
  public boolean isDisposed() {
    return running.isDisposed();
  }

  private void recordFailure(String name, BoxMetrics metrics, Throwable e) {
    if (!failing) {
      failing = true;
      metrics.stateChange(name + "-failing");
      Logger.warn("Periodic task {} failed: {}", name, e.getMessage());
    }
  }
}
