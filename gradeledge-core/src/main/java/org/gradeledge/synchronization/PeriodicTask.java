package org.gradeledge.synchronization;

import java.time.Duration;
import java.util.function.Supplier;
import org.gradeledge.metrics.BoxMetrics;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Runs a round, waits for a period, and so on; a failed round is counted and does not end it.
 *
 * @since 0.1
 */
public final class PeriodicTask implements Disposable {

  private final Disposable running;
  private volatile boolean failing;

  private PeriodicTask(
      String name, Duration period, BoxMetrics metrics, Supplier<Mono<Void>> round) {
    this.running =
        Mono.defer(round)
            .doOnSuccess(done -> failing = false)
            .onErrorResume(
                e -> {
                  recordFailure(name, metrics, e);
                  return Mono.empty();
                })
            .repeatWhen(rounds -> rounds.delayElements(period))
            .subscribe();
  }

  /** Starts a task; its first round starts at once. */
  public static PeriodicTask start(
      String name, Duration period, BoxMetrics metrics, Supplier<Mono<Void>> round) {
    return new PeriodicTask(name, period, metrics, round);
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
      Logger.warn("{} fails: {}", name, e.getMessage());
    }
  }
}
