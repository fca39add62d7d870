package org.gradeledge.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

class PeerProbeTests {

  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private int probes;
  private int silences;
  private final PeerProbe probe =
      new PeerProbe(time, () -> time.now(TimeUnit.NANOSECONDS), () -> probes++, () -> silences++);

  @Test
  void aConnectionOnWhichThingsComeIsNotProbed() {
    for (int i = 0; i < 20; i++) {
      probe.recordReceived();
      probe.recordSent();
      time.advanceTimeBy(Duration.ofMillis(1_000));
    }

    assertThat(probes).isZero();
    assertThat(silences).isZero();
  }

  @Test
  void aConnectionThatCarriesNothingIsNotProbed() {
    time.advanceTimeBy(Duration.ofMinutes(5));

    assertThat(probes).isZero();
    assertThat(silences).isZero();
  }

  @Test
  void whatIsSentIntoSilenceIsFoundOutWithinABound() {
    time.advanceTimeBy(Duration.ofSeconds(5));
    probe.recordSent();
    probe.recordSent();
    assertThat(probes).isEqualTo(1);

    time.advanceTimeBy(Duration.ofMillis(1_500));

    assertThat(silences).isEqualTo(1);
  }

  @Test
  void anAnswerToTheProbeSavesTheConnection() {
    time.advanceTimeBy(Duration.ofSeconds(5));
    probe.recordSent();
    time.advanceTimeBy(Duration.ofMillis(200));
    probe.recordReceived();
    time.advanceTimeBy(Duration.ofMinutes(1));
    assertThat(silences).isZero();

    probe.recordSent();
    time.advanceTimeBy(Duration.ofSeconds(2));

    assertThat(probes).isEqualTo(2);
    assertThat(silences).isEqualTo(1);
  }
}
