package org.gradeledge.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Calls boxes all the time and notes which version each answer came under. */
final class VersionWatch implements AutoCloseable {

  private record Seen(int box, long startNanos, long version) {}

  private static final Duration PAUSE = Duration.ofMillis(10);

  private final List<Seen> seen = new CopyOnWriteArrayList<>();
  private final List<Disposable> watches = new ArrayList<>();
  private volatile long toldNanos;
  private volatile long toldVersion;

  VersionWatch(ProcessDeployment deployment, int boxes) {
    for (int i = 0; i < boxes; i++) {
      int box = i;
      watches.add(
          Mono.defer(() -> look(deployment, box))
              .repeatWhen(rounds -> rounds.delayElements(PAUSE, Schedulers.boundedElastic()))
              .subscribe());
    }
  }

  /** Notes that an operator was told just now that a version is accepted. */
  void told(long version) {
    toldNanos = System.nanoTime();
    toldVersion = version;
  }

  private Mono<Void> look(ProcessDeployment deployment, int box) {
    long startNanos = System.nanoTime();
    return deployment
        .call(box)
        .send()
        .filter(reply -> reply.status() == 200)
        .doOnNext(
            reply ->
                seen.add(
                    new Seen(
                        box,
                        startNanos,
                        Long.parseLong(reply.headers().get("Gradeledge-Configuration-Version")))))
        .onErrorComplete()
        .then();
  }

  /** Checks that no box went back, and that none served an older version than was told. */
  void check() {
    long[] highest = new long[16];
    for (Seen each : seen) {
      assertThat(each.version())
          .as("box %s", each.box())
          .isGreaterThanOrEqualTo(highest[each.box()]);
      highest[each.box()] = each.version();
      if (toldVersion > 0 && each.startNanos() > toldNanos) {
        assertThat(each.version()).as("box %s", each.box()).isGreaterThanOrEqualTo(toldVersion);
      }
    }
    assertThat(seen).isNotEmpty();
  }

  @Override
  public void close() {
    watches.forEach(Disposable::dispose);
  }
}
