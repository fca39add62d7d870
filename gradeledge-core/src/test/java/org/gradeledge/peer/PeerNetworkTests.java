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

  record Request(String text) {}

  record Reply(String text) {}

  private static final PeerMessageType<Request> REQUEST =
      new PeerMessageType<>("question", Request.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

  private final List<PeerNetwork> networks = new ArrayList<>();
  private final List<DisposableServer> servers = new ArrayList<>();

  @AfterEach
  void stop() {
    networks.forEach(PeerNetwork::close);
    servers.forEach(DisposableServer::disposeNow);
  }

  @Test
  void answersRequestsOfEitherSideOverOneConnection() {
    PeerNetwork first = network("box-1", "a secret of sixteen bytes");
    PeerNetwork second = network("box-2", "a secret of sixteen bytes");
    first.setPeers(List.of(addressOf(1, "box-2")));
    second.setPeers(List.of(addressOf(0, "box-1")));

    assertThat(requestReply(first, "box-2", "Шумен?")).isEqualTo("box-2 heard Шумен?");
    assertThat(requestReply(second, "box-1", "Huế?")).isEqualTo("box-1 heard Huế?");
    assertThat(first.connectedPeers()).hasSize(1);
  }

  @Test
  void rejectsAPeerWithADifferentSecret() {
    PeerNetwork first = network("box-1", "a secret of sixteen bytes");
    PeerNetwork intruder = network("box-2", "not the secret of the others");
    intruder.setPeers(List.of(addressOf(0, "box-1")));

    assertThatThrownBy(
            () ->
                intruder
                    .request("box-1", REQUEST, new Request(""), Reply.class, TIMEOUT)
                    .retryWhen(Retry.fixedDelay(10, Duration.ofMillis(50)))
                    .block(TIMEOUT))
        .hasRootCauseInstanceOf(PeerException.class);
    assertThat(first.connectedPeers()).isEmpty();
  }

  @Test
  void slowRequestsDoNotDelayLaterOnes() {
    PeerNetwork first = network("box-1", "a secret of sixteen bytes");
    PeerNetwork second = network("box-2", "a secret of sixteen bytes");
    PeerMessageType<Request> slow = new PeerMessageType<>("slow", Request.class);
    second.register(slow, (from, message) -> Mono.never());
    first.setPeers(List.of(addressOf(1, "box-2")));
    requestReply(first, "box-2", "first");

    for (int i = 0; i < 200; i++) {
      first
          .request("box-2", slow, new Request("slow"), Reply.class, TIMEOUT)
          .subscribe(answer -> {}, failure -> {});
    }

    assertThat(requestReply(first, "box-2", "last")).isEqualTo("box-2 heard last");
  }

  /**
   * A connection whose handshake is in flight when the network is closed must not open afterwards:
   * a stopped box would appear connected.
   */
  @Test
  void opensNoConnectionAfterClose() {
    PeerNetwork closed = network("box-1", "a secret of sixteen bytes");
    PeerNetwork other = network("box-2", "a secret of sixteen bytes");
    closed.close();
    other.setPeers(List.of(addressOf(0, "box-1")));

    // If the other side opens the connection first, its request ends by timeout.
    assertThatThrownBy(
            () ->
                other
                    .request("box-1", REQUEST, new Request(""), Reply.class, SHORT_TIMEOUT)
                    .retryWhen(Retry.fixedDelay(5, Duration.ofMillis(50)))
                    .block(TIMEOUT))
        .hasMessageContaining("Retries exhausted");
    assertThat(closed.connectedPeers()).isEmpty();
  }

  private static String requestReply(PeerNetwork from, String to, String text) {
    return from.request(to, REQUEST, new Request(text), Reply.class, TIMEOUT)
        .retryWhen(Retry.fixedDelay(100, Duration.ofMillis(50)))
        .block(TIMEOUT)
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
        REQUEST, (from, message) -> Mono.just(new Reply(id + " heard " + message.text())));
    networks.add(network);
    servers.add(network.listen(new InetSocketAddress("127.0.0.1", 0)).block());
    return network;
  }

  private PeerAddress addressOf(int index, String id) {
    return new PeerAddress(id, 1, "127.0.0.1", servers.get(index).port());
  }
}
