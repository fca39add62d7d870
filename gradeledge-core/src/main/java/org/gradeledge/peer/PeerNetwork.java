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
 * The connections of a box to its peers, at most one per peer. Connections to a configured set of
 * peers are maintained permanently, others are opened on demand.
 *
 * <p>Either side may dial. If both do, the connection that the box with the lower name dialed is
 * kept. Thread-safe.
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

  /** Creates the network of a box, which neither listens nor dials yet. */
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

  /** Registers the handler of a message type. */
  public <T> void register(PeerMessageType<T> type, PeerHandler<T> handler) {
    handlers.register(type, handler);
  }

  /** Starts to accept connections of peers. */
  public Mono<? extends DisposableServer> listen(InetSocketAddress address) {
    return transport.listen(address, this);
  }

  /** Registers the format of a type, which is otherwise bound by reflection. */
  public <T> void register(Class<T> type, MessageFormat<T> format) {
    codec.register(type, format);
  }

  /** Sets the incarnation of this box and closes all connections that used the previous one. */
  public void setIncarnation(long value) {
    incarnation = value;
    connections.values().forEach(PeerConnection::close);
  }

  /** Sets the peers to maintain connections with, and closes the connections to removed ones. */
  public void setPeers(Collection<PeerAddress> peers) {
    dialers.maintainConnections(peers).forEach(this::close);
  }

  /**
   * Sets the peers to maintain connections with. Unlike {@link #setPeers}, existing connections to
   * other peers stay open, as the other side may still use them.
   */
  public void maintainConnections(Collection<PeerAddress> peers) {
    dialers.maintainConnections(peers);
  }

  /**
   * Connects to a peer, unless it is connected. Fails with {@link PeerException} if the peer cannot
   * be dialed or the connection is not open within the timeout.
   */
  public Mono<Void> connect(PeerAddress peer, Duration timeout) {
    return dialers.connect(peer, timeout);
  }

  /** Returns whether the last dial of a peer failed; dialing continues nonetheless. */
  public boolean isUnreachable(PeerAddress peer) {
    return dialers.isUnreachable(peer);
  }

  /** Returns the connected peers. */
  public Set<PeerIdentity> connectedPeers() {
    return connections.values().stream().map(PeerConnection::identity).collect(Collectors.toSet());
  }

  /** Sends a message to a peer; does nothing if the peer is not connected. */
  public <T> void send(String peerId, PeerMessageType<T> type, T message) {
    PeerConnection connection = connections.get(peerId);
    if (connection != null) {
      connection.send(type.name(), codec.encode(message));
    }
  }

  /** Sends a message to those of the peers that are connected. */
  public <T> void sendToEach(Collection<String> peerIds, PeerMessageType<T> type, T message) {
    if (peerIds.isEmpty()) {
      return;
    }
    byte[] body = codec.encode(message);
    peerIds.stream()
        .flatMap(peerId -> Optional.ofNullable(connections.get(peerId)).stream())
        .forEach(connection -> connection.send(type.name(), body));
  }

  /** Returns the names of the connected peers. */
  public Set<String> connectedIds() {
    return Set.copyOf(connections.keySet());
  }

  /** Sends a message to all connected peers. */
  public <T> void sendToAll(PeerMessageType<T> type, T message) {
    byte[] body = codec.encode(message);
    connections.values().forEach(connection -> connection.send(type.name(), body));
  }

  /**
   * Sends a message and returns the peer's answer. Fails with {@link PeerException} if the peer is
   * not connected or does not answer within the timeout.
   */
  public <T, A> Mono<A> request(
      String peerId, PeerMessageType<T> type, T message, Class<A> answerType, Duration timeout) {
    return Mono.defer(
            () -> {
              PeerConnection connection = connections.get(peerId);
              return connection == null
                  ? Mono.<byte[]>error(PeerException.notConnected(peerId))
                  : connection.request(type.name(), codec.encode(message), timeout);
            })
        .map(body -> codec.decode(body, answerType))
        .onErrorMap(
            e -> !(e instanceof PeerException),
            e -> new PeerException(peerId + " did not answer " + type.name(), e));
  }

  /** Closes the connection to a peer, which is dialed again if it is to be maintained. */
  public void disconnect(String peerId) {
    PeerConnection connection = connections.get(peerId);
    if (connection != null) {
      connection.close();
    }
  }

  /** Closes all connections and stops dialing. */
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
      // The handshake was in flight when the network was closed.
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
    Logger.info("Peer connected: box={} incarnation={}", identity.boxId(), identity.incarnation());
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
      Logger.info("Peer disconnected: box={}", connection.identity().boxId());
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
