package org.gradeledge.tunnel;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.PathCheck;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

class TunnelSearchTests {

  private static final List<String> BOXES = List.of("a", "b", "c", "d");

  private final EmbeddedChannel channel = new EmbeddedChannel();

  /** Offers of the boxes; others never answer. */
  private final Map<String, TunnelOffer> offers = new HashMap<>();

  private final FakeTunnelPeers peers =
      new FakeTunnelPeers(
          BOXES,
          box -> true,
          (box, request) -> offers.containsKey(box) ? Mono.just(offers.get(box)) : Mono.never());
  private final List<String> failed = new ArrayList<>();
  private final List<String> outcomes = new ArrayList<>();

  TunnelSearchTests() {
    channel.freezeTime();
  }

  @Test
  void usesFirstBoxThatReachesTheUpstream() {
    offers.put("a", TunnelOffer.without(PathCheck.UNAVAILABLE));
    offers.put("b", new TunnelOffer(PathCheck.REACHED, 1, "ticket"));

    search();

    assertThat(outcomes).containsExactly("b REACHED");
    assertThat(failed).containsExactly("a UNAVAILABLE");
    assertThat(peers.asked()).containsExactly("a", "b");
  }

  // Guards against taking the word of one box that is partitioned itself for a crash.
  @Test
  void refusalCountsOnlyIfNoAskedBoxReachesTheUpstream() {
    offers.put("a", TunnelOffer.without(PathCheck.REFUSED));
    offers.put("b", TunnelOffer.without(PathCheck.SILENT));
    offers.put("c", TunnelOffer.without(PathCheck.UNAVAILABLE));

    search();

    assertThat(outcomes).containsExactly(" REFUSED");
    assertThat(peers.asked()).containsExactly("a", "b", "c");
  }

  // Guards against waiting for a box that does not answer.
  @Test
  void asksNextBoxIfOneDoesNotAnswer() {
    offers.put("b", new TunnelOffer(PathCheck.REACHED, 1, "ticket"));

    search();
    assertThat(outcomes).isEmpty();
    channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    channel.runPendingTasks();

    assertThat(outcomes).containsExactly("b REACHED");
  }

  @Test
  void reportsThatNoBoxIsAvailable() {
    new TunnelSearch(
            peers,
            channel.eventLoop(),
            new TunnelRequest("u", true),
            List.of(),
            (box, check) -> failed.add(box),
            (box, offer) -> outcomes.add(box + " " + offer.check()))
        .start();

    assertThat(outcomes).containsExactly(" UNAVAILABLE");
  }

  private void search() {
    new TunnelSearch(
            peers,
            channel.eventLoop(),
            new TunnelRequest("u", true),
            BOXES,
            (box, check) -> failed.add(box + " " + check),
            (box, offer) -> outcomes.add(box + " " + offer.check()))
        .start();
    channel.runPendingTasks();
  }
}
