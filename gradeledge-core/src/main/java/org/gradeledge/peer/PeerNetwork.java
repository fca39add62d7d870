package org.gradeledge.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.gradeledge.metrics.BoxMetrics;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.DisposableServer;

/**
 * All connections of a box to its peers: one connection a pair at most. With whom it is connected
 * is its owner's choice: a set of peers that are always kept up, others on demand.
 *
 * <p>Either side may dial; where both have, the connection dialed by the box with the smaller name
 * is kept. Thread-safe.
 *
 * @since 0.1
 */
public final class PeerNetwork implements PeerContext {

  private final String boxId;
  private final PeerSecret secret;
  private final PeerTransport transport;
  private final BoxMetrics metrics;
  private final PeerCodec codec = new PeerCodec();
  private final PeerHandlers handlers = new PeerHandlers(codec);
  private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
  private final PeerDialers dialers;
  private boolean closed;
  private volatile long incarnation;

  /** Creates the network of a box; it neither listens nor dials yet. */
  public PeerNetwork(String boxId, PeerSecret secret, PeerTransport transport, BoxMetrics metrics) {
    this.boxId = boxId;
    this.secret = secret;
    this.transport = transport;
    this.metrics = metrics;
    this.dialers =
        new PeerDialers(
            this::findOpenConnection,
            peer -> transport.dial(peer.socketAddress(), this),
            transport.scheduler());
    handlers.register(PeerProbe.MESSAGE_TYPE, (from, probe) -> Mono.just(probe));
  }

  /** Handles messages of a type from now on. */
  public <T> void register(PeerMessageType<T> type, PeerHandler<T> handler) {
    handlers.register(type, handler);
  }

  /** Starts to listen. */
  public Mono<? extends DisposableServer> listen(InetSocketAddress address) {
    return transport.listen(address, this);
  }

  /** Sets how messages of a type are written and read, in place of binding by reflection. */
  public <T> void register(Class<T> type, MessageFormat<T> format) {
    codec.register(type, format);
  }

  /** Sets the incarnation that greetings name; connections made under an older one are closed. */
  public void setIncarnation(long value) {
    incarnation = value;
    connections.values().forEach(PeerConnection::close);
  }

  /** Sets which peers to be connected with; connections with all others are closed. */
  public void setPeers(Collection<PeerAddress> peers) {
    dialers.maintainConnections(peers).forEach(this::close);
  }

  /**
   * Sets which peers to keep up connections with. Unlike {@link #setPeers}, a connection that the
   * other side has dialed stays open, as the other side may still want it.
   */
  public void maintainConnections(Collection<PeerAddress> peers) {
    dialers.maintainConnections(peers);
  }

  /**
   * Returns what completes once a peer is connected, and dials it if nobody has. It fails with
   * {@link PeerException} at once where the last dial came to nothing, and where the connection is
   * not there within the limit.
   */
  public Mono<Void> connect(PeerAddress peer, Duration limit) {
    return dialers.connect(peer, limit);
  }

  /** Returns whether the last dial of a peer came to nothing; it is dialed again meanwhile. */
  public boolean isUnreachable(PeerAddress peer) {
    return dialers.isUnreachable(peer);
  }

  /** Returns the peers whose connections are up. */
  public Set<PeerIdentity> connectedPeers() {
    return connections.values().stream().map(PeerConnection::identity).collect(Collectors.toSet());
  }

  /** Sends a message if the peer is connected, else does nothing. */
  public <T> void send(String peerId, PeerMessageType<T> type, T message) {
    PeerConnection connection = connections.get(peerId);
    if (connection != null) {
      connection.send(type.name(), codec.encode(message));
    }
  }

  /** Sends a message to those of some peers that are connected. */
  public <T> void sendToEach(Collection<String> peerIds, PeerMessageType<T> type, T message) {
    if (peerIds.isEmpty()) {
      return;
    }
    byte[] body = codec.encode(message);
    peerIds.stream()
        .flatMap(peerId -> Optional.ofNullable(connections.get(peerId)).stream())
        .forEach(connection -> connection.send(type.name(), body));
  }

  /** Returns the names of the peers whose connections are up. */
  public Set<String> connectedIds() {
    return Set.copyOf(connections.keySet());
  }

  /** Sends a message to all connected peers. */
  public <T> void sendToAll(PeerMessageType<T> type, T message) {
    byte[] body = codec.encode(message);
    connections.values().forEach(connection -> connection.send(type.name(), body));
  }

  /**
   * Sends a message and returns the peer's answer; fails with {@link PeerException} where the peer
   * is not connected or does not answer within the limit.
   */
  public <T, A> Mono<A> request(
      String peerId, PeerMessageType<T> type, T message, Class<A> answerType, Duration limit) {
    return Mono.defer(
            () -> {
              PeerConnection connection = connections.get(peerId);
              return connection == null
                  ? Mono.<byte[]>error(PeerException.notConnected(peerId))
                  : connection.request(type.name(), codec.encode(message), limit);
            })
        .map(body -> codec.decode(body, answerType))
        .onErrorMap(
            e -> !(e instanceof PeerException),
            e -> new PeerException(peerId + " did not answer " + type.name(), e));
  }

  /** Closes the connection to a peer that is not heard on it any more; it is dialed again. */
  public void disconnect(String peerId) {
    PeerConnection connection = connections.get(peerId);
    if (connection != null) {
      connection.close();
    }
  }

  /** Closes all connections and dials no more. */
  public void close() {
    synchronized (this) {
      closed = true;
    }
    dialers.stop();
    connections.values().forEach(PeerConnection::close);
  }

  private Optional<PeerConnection> findOpenConnection(PeerAddress peer) {
    return Optional.ofNullable(connections.get(peer.boxId()))
        .filter(PeerConnection::isOpen)
        .filter(connection -> connection.identity().incarnation() >= peer.incarnation());
  }

  private void close(PeerAddress address) {
    PeerConnection connection = connections.get(address.boxId());
    if (connection != null && connection.identity().incarnation() <= address.incarnation()) {
      connection.close();
    }
  }

  @Override
  public synchronized boolean connectionOpened(PeerConnection connection) {
    if (closed) {
      // Its greeting was under way when the network was closed; nothing would end it later.
      return false;
    }
    PeerIdentity identity = connection.identity();
    PeerConnection existing = connections.get(identity.boxId());
    if (existing != null && existing.isOpen() && isPreferred(existing, connection)) {
      return false;
    }
    connections.put(identity.boxId(), connection);
    dialers.connectionOpened(identity.boxId());
    if (existing != null) {
      existing.close();
    }
    metrics.stateChange("peer-connected");
    Logger.info("peer connected: box={} incarnation={}", identity.boxId(), identity.incarnation());
    return true;
  }

  private static boolean isPreferred(PeerConnection existing, PeerConnection other) {
    long existingIncarnation = existing.identity().incarnation();
    long otherIncarnation = other.identity().incarnation();
    return existingIncarnation == otherIncarnation
        ? existing.isDialedByLowerId() && !other.isDialedByLowerId()
        : existingIncarnation > otherIncarnation;
  }

  @Override
  public void connectionClosed(PeerConnection connection) {
    if (connections.remove(connection.identity().boxId(), connection)) {
      metrics.stateChange("peer-lost");
      Logger.info("peer lost: box={}", connection.identity().boxId());
    }
  }

  @Override
  public PeerHello newHello() {
    return new PeerHello(PeerHello.PROTOCOL_VERSION, boxId, incarnation, secret.newNonce());
  }

  @Override
  public PeerCodec codec() {
    return codec;
  }

  @Override
  public PeerSecret secret() {
    return secret;
  }

  @Override
  public PeerHandlers handlers() {
    return handlers;
  }

  @Override
  public Scheduler scheduler() {
    return transport.scheduler();
  }

  @Override
  public BoxMetrics metrics() {
    return metrics;
  }
}
