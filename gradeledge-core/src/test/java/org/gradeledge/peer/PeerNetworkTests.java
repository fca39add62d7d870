package org.gradeledge.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gradeledge.metrics.BoxMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.util.retry.Retry;

class PeerNetworkTests {

  record Question(String text) {}

  record Reply(String text) {}

  private static final PeerMessageType<Question> QUESTION =
      new PeerMessageType<>("question", Question.class);
  private static final Duration LIMIT = Duration.ofSeconds(10);
  private static final Duration SHORT_LIMIT = Duration.ofMillis(200);

  private final List<PeerNetwork> networks = new ArrayList<>();
  private final List<DisposableServer> servers = new ArrayList<>();

  @AfterEach
  void stop() {
    networks.forEach(PeerNetwork::close);
    servers.forEach(DisposableServer::disposeNow);
  }

  @Test
  void answersAQuestionOverEitherSidesConnection() {
    PeerNetwork one = network("box-1", "a secret of sixteen bytes");
    PeerNetwork two = network("box-2", "a secret of sixteen bytes");
    one.setPeers(List.of(addressOf(1, "box-2")));
    two.setPeers(List.of(addressOf(0, "box-1")));

    assertThat(ask(one, "box-2", "Шумен?")).isEqualTo("box-2 heard Шумен?");
    assertThat(ask(two, "box-1", "Huế?")).isEqualTo("box-1 heard Huế?");
    assertThat(one.connectedPeers()).hasSize(1);
  }

  @Test
  void refusesAStrangerWithAnotherSecret() {
    PeerNetwork one = network("box-1", "a secret of sixteen bytes");
    PeerNetwork stranger = network("box-2", "not the secret of the others");
    stranger.setPeers(List.of(addressOf(0, "box-1")));

    assertThatThrownBy(
            () ->
                stranger
                    .request("box-1", QUESTION, new Question(""), Reply.class, LIMIT)
                    .retryWhen(Retry.fixedDelay(10, Duration.ofMillis(50)))
                    .block(LIMIT))
        .hasRootCauseInstanceOf(PeerException.class);
    assertThat(one.connectedPeers()).isEmpty();
  }

  @Test
  void questionsThatTakeLongDoNotHoldUpWhatComesAfterThem() {
    PeerNetwork one = network("box-1", "a secret of sixteen bytes");
    PeerNetwork two = network("box-2", "a secret of sixteen bytes");
    PeerMessageType<Question> slow = new PeerMessageType<>("slow", Question.class);
    two.register(slow, (from, question) -> Mono.never());
    one.setPeers(List.of(addressOf(1, "box-2")));
    ask(one, "box-2", "first");

    for (int i = 0; i < 200; i++) {
      one.request("box-2", slow, new Question("slow"), Reply.class, LIMIT)
          .subscribe(answer -> {}, failure -> {});
    }

    assertThat(ask(one, "box-2", "last")).isEqualTo("box-2 heard last");
  }

  /**
   * Seen: a stopped box was heard by a part of the others for minutes, over one connection.
   *
   * <p>How it came about: its network was closed while a greeting was under way; the connection
   * opened after that, and nothing closed it any more. Cause: closing looked at what was open
   * alone. Proof: a peer that greets a network right after it was closed.
   */
  @Test
  void aNetworkThatWasClosedOpensNoConnectionAnyMore() {
    PeerNetwork closed = network("box-1", "a secret of sixteen bytes");
    PeerNetwork other = network("box-2", "a secret of sixteen bytes");
    closed.close();
    other.setPeers(List.of(addressOf(0, "box-1")));

    // The other side may open first, and its question gets no answer then until its limit.
    assertThatThrownBy(
            () ->
                other
                    .request("box-1", QUESTION, new Question(""), Reply.class, SHORT_LIMIT)
                    .retryWhen(Retry.fixedDelay(5, Duration.ofMillis(50)))
                    .block(LIMIT))
        .hasMessageContaining("Retries exhausted");
    assertThat(closed.connectedPeers()).isEmpty();
  }

  private static String ask(PeerNetwork from, String to, String text) {
    return from.request(to, QUESTION, new Question(text), Reply.class, LIMIT)
        .retryWhen(Retry.fixedDelay(100, Duration.ofMillis(50)))
        .block(LIMIT)
        .text();
  }

  private PeerNetwork network(String id, String secret) {
    PeerNetwork network =
        new PeerNetwork(
            id,
            new PeerSecret(secret),
            new PeerTransport(Optional.empty(), Optional.empty()),
            new BoxMetrics());
    network.setIncarnation(1);
    network.register(
        QUESTION, (from, question) -> Mono.just(new Reply(id + " heard " + question.text())));
    networks.add(network);
    servers.add(network.listen(new InetSocketAddress("127.0.0.1", 0)).block());
    return network;
  }

  private PeerAddress addressOf(int index, String id) {
    return new PeerAddress(id, 1, "127.0.0.1", servers.get(index).port());
  }
}
