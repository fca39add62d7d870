package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AttemptWatchdogTests {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final EventLoop loop = channel.eventLoop();
  private long millisUntilSilent = 1_500;
  private int checks;
  private int silenceReports;

  @BeforeEach
  void freezeTime() {
    channel.freezeTime();
  }

  @Test
  void doesNotCheckBeforeAttemptCanBeSilent() {
    startWatchdog();
    advance(1_499);

    assertThat(checks).isEqualTo(1);
  }

  @Test
  void activityPostponesNextCheck() {
    startWatchdog();
    millisUntilSilent = 1_000;
    advance(1_500);
    assertThat(checks).isEqualTo(2);
    advance(999);

    assertThat(checks).isEqualTo(2);
    assertThat(silenceReports).isZero();
  }

  @Test
  void reportsSilenceRepeatedlyUntilStopped() {
    AttemptWatchdog watch = startWatchdog();
    millisUntilSilent = 0;
    advance(1_500);
    assertThat(silenceReports).isEqualTo(1);
    advance(200);
    assertThat(silenceReports).isEqualTo(3);

    watch.stop();
    advance(10_000);

    assertThat(silenceReports).isEqualTo(3);
  }

  private AttemptWatchdog startWatchdog() {
    return new AttemptWatchdog(loop, this::check, () -> silenceReports++);
  }

  private long check() {
    checks++;
    return millisUntilSilent;
  }

  private void advance(long millis) {
    for (long i = 0; i < millis; i++) {
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
  }
}
