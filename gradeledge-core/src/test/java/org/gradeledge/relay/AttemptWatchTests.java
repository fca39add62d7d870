package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AttemptWatchTests {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final EventLoop loop = channel.eventLoop();
  private long untilSilent = 1_500;
  private int looks;
  private int silences;

  @BeforeEach
  void freezeTime() {
    channel.freezeTime();
  }

  @Test
  void doesNotLookBeforeTheAttemptCanBeSilent() {
    watch();
    advance(1_499);

    assertThat(looks).isEqualTo(1);
  }

  @Test
  void aSignOfLifePutsTheNextLookOff() {
    watch();
    untilSilent = 1_000;
    advance(1_500);
    assertThat(looks).isEqualTo(2);
    advance(999);

    assertThat(looks).isEqualTo(2);
    assertThat(silences).isZero();
  }

  @Test
  void tellsOfSilenceAgainAndAgainUntilItIsStopped() {
    AttemptWatch watch = watch();
    untilSilent = 0;
    advance(1_500);
    assertThat(silences).isEqualTo(1);
    advance(200);
    assertThat(silences).isEqualTo(3);

    watch.stop();
    advance(10_000);

    assertThat(silences).isEqualTo(3);
  }

  private AttemptWatch watch() {
    return new AttemptWatch(loop, this::look, () -> silences++);
  }

  private long look() {
    looks++;
    return untilSilent;
  }

  private void advance(long millis) {
    for (long i = 0; i < millis; i++) {
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
  }
}
