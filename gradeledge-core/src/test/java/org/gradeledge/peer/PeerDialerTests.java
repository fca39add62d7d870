package org.gradeledge.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

class PeerDialerTests {

  private static final PeerAddress PEER = new PeerAddress("box-2", 1, "127.0.0.1", 1);

  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final AtomicInteger dials = new AtomicInteger();
  private final AtomicInteger looks = new AtomicInteger();
  private Sinks.Empty<Void> connection = Sinks.empty();
  private PeerDialer dialer;

  @AfterEach
  void stop() {
    dialer.dispose();
  }

  @Test
  void looksAtAConnectedPeerOnlyOnceTheConnectionHasEnded() {
    start();
    dialer.connectionOpened();
    time.advanceTimeBy(Duration.ofMinutes(10));
    assertThat(looks).hasValue(1);
    assertThat(dials).hasValue(1);

    Sinks.Empty<Void> ended = connection;
    connection = Sinks.empty();
    ended.tryEmitEmpty();
    time.advanceTimeBy(Duration.ofSeconds(1));

    assertThat(dials).hasValue(2);
  }

  @Test
  void dialsAPeerThatIsAwayAgainAndAgain() {
    connection.tryEmitEmpty();
    start();
    time.advanceTimeBy(Duration.ofSeconds(10));

    assertThat(dials.get()).isBetween(15, 60);
    assertThat(dialer.hasFailed()).isTrue();
    assertThat(dialer.isDialing()).isFalse();
  }

  @Test
  void aDialWhoseOutcomeIsNotKnownYetHasNotFailed() {
    start();

    assertThat(dialer.isDialing()).isTrue();
    assertThat(dialer.hasFailed()).isFalse();
  }

  private void start() {
    dialer = new PeerDialer(PEER, this::open, this::dial, time, () -> {});
  }

  private Optional<PeerConnection> open() {
    looks.incrementAndGet();
    return Optional.empty();
  }

  private Mono<Void> dial() {
    dials.incrementAndGet();
    return connection.asMono();
  }
}
