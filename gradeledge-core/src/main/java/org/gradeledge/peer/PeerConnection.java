package org.gradeledge.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;
import reactor.netty.NettyInbound;
import reactor.netty.NettyOutbound;

/**
 * One connection to a peer, from greeting to close. {@link #run} is its one task; sending is
 * thread-safe.
 */
final class PeerConnection {

  private static final String HELLO = "hello";
  private static final String PROOF = "proof";
  private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_CONCURRENT_MESSAGES = 4096;
  private static final int SEND_QUEUE_CAPACITY = 1024;

  /** Questions count from 1, so the answer to a probe is nobody else's. */
  private static final long PROBE_CORRELATION_ID = -1;

  private static final byte[] EMPTY_BODY = {};

  private final PeerContext context;
  private final boolean dialed;
  private final Connection connection;
  private final PeerHello ownHello;
  private final Sinks.Many<PeerFrame> outgoing =
      Sinks.many().unicast().onBackpressureBuffer(new ArrayBlockingQueue<>(SEND_QUEUE_CAPACITY));
  private final Map<Long, Sinks.One<byte[]>> pendingResponses = new ConcurrentHashMap<>();
  private final AtomicLong lastCorrelationId = new AtomicLong();
  private volatile @Nullable PeerHello peerHello;
  private final Disposable.Composite messagesInFlight = Disposables.composite();
  private final Sinks.Empty<Void> closed = Sinks.empty();
  private final PeerProbe probe;
  private volatile boolean open;

  PeerConnection(PeerContext context, boolean dialed, Connection connection) {
    this.context = context;
    this.dialed = dialed;
    this.connection = connection;
    this.ownHello = context.newHello();
    this.probe =
        new PeerProbe(
            context.scheduler(), MonotonicClock.system(), this::sendProbe, this::closeUnresponsive);
  }

  /** Greets, then handles frames until either side closes. */
  Publisher<Void> run(NettyInbound inbound, NettyOutbound outbound) {
    enqueue(new PeerFrame(HELLO, 0, false, context.codec().encode(ownHello)));
    Mono<Void> sending =
        outbound.send(outgoing.asFlux().map(this::encodeAndCount), frame -> true).then();
    Mono<Void> receiving =
        inbound
            .receive()
            .asByteArray()
            .index()
            .concatMap(frame -> receive(frame.getT1(), frame.getT2()))
            .then();
    Mono<Void> greetingLimit =
        Mono.delay(HANDSHAKE_TIMEOUT, context.scheduler())
            .flatMap(tick -> open ? Mono.<Void>never() : Mono.error(failure("greeting too slow")));
    return Mono.firstWithSignal(sending, receiving, greetingLimit)
        .doOnError(e -> Logger.debug(e, "peer connection ended"))
        .onErrorComplete()
        .doFinally(signal -> close());
  }

  boolean isOpen() {
    return open;
  }

  /** Returns what completes once the connection has been closed. */
  Mono<Void> onClosed() {
    return closed.asMono();
  }

  boolean isDialedByLowerId() {
    String other = identity().boxId();
    return dialed == (ownHello.boxId().compareTo(other) < 0);
  }

  PeerIdentity identity() {
    PeerHello hello = peerHello;
    return hello == null
        ? new PeerIdentity("", 0)
        : new PeerIdentity(hello.boxId(), hello.incarnation());
  }

  void send(String type, byte[] body) {
    enqueue(new PeerFrame(type, 0, false, body));
    probe.recordSent();
  }

  Mono<byte[]> request(String type, byte[] body, Duration limit) {
    return Mono.defer(
        () -> {
          long correlation = lastCorrelationId.incrementAndGet();
          Sinks.One<byte[]> answer = Sinks.one();
          pendingResponses.put(correlation, answer);
          enqueue(new PeerFrame(type, correlation, false, body));
          probe.recordSent();
          return answer
              .asMono()
              .timeout(limit, context.scheduler())
              .doFinally(signal -> pendingResponses.remove(correlation));
        });
  }

  void close() {
    boolean wasOpen = open;
    open = false;
    outgoing.tryEmitComplete();
    pendingResponses.values().forEach(sink -> sink.tryEmitError(failure("connection closed")));
    connection.dispose();
    messagesInFlight.dispose();
    probe.dispose();
    if (wasOpen) {
      context.connectionClosed(this);
    }
    closed.tryEmitEmpty();
  }

  private Mono<Void> receive(long index, byte[] bytes) {
    PeerFrame frame = context.codec().decode(bytes, PeerFrame.class);
    if (index == 0) {
      return receiveHello(frame);
    }
    if (index == 1) {
      return receiveProof(frame);
    }
    count(frame.type(), "in", bytes.length);
    probe.recordReceived();
    return frame.answer() ? completePending(frame) : startHandling(frame);
  }

  private void sendProbe() {
    byte[] body = context.codec().encode(EMPTY_BODY);
    enqueue(new PeerFrame(PeerProbe.MESSAGE_TYPE.name(), PROBE_CORRELATION_ID, false, body));
  }

  private void closeUnresponsive() {
    context.metrics().stateChange("peer-silent");
    Logger.info("peer silent, connection closed: box={}", identity().boxId());
    close();
  }

  private Mono<Void> receiveHello(PeerFrame frame) {
    PeerHello hello = context.codec().decode(expect(HELLO, frame).body(), PeerHello.class);
    if (hello.protocolVersion() != PeerHello.PROTOCOL_VERSION) {
      return Mono.error(failure("protocol version " + hello.protocolVersion() + " is not spoken"));
    }
    peerHello = hello;
    byte[] proof = context.secret().proof(hello.nonce(), ownHello, dialed);
    enqueue(new PeerFrame(PROOF, 0, false, context.codec().encode(proof)));
    return Mono.empty();
  }

  private Mono<Void> receiveProof(PeerFrame frame) {
    byte[] proof = context.codec().decode(expect(PROOF, frame).body(), byte[].class);
    PeerHello hello = Optional.ofNullable(peerHello).orElseThrow();
    if (!context.secret().isValidProof(proof, ownHello.nonce(), hello, !dialed)) {
      context.metrics().stateChange("peer-refused");
      return Mono.error(failure("the secret is not the same"));
    }
    open = true;
    if (!context.connectionOpened(this)) {
      return Mono.error(failure("another connection to the same peer is kept"));
    }
    return Mono.empty();
  }

  /**
   * Starts to handle a message without waiting for its end: an answer may take long, and what comes
   * after it, such as a heartbeat, must not wait for that.
   */
  private Mono<Void> startHandling(PeerFrame frame) {
    if (messagesInFlight.size() >= MAX_CONCURRENT_MESSAGES) {
      return Mono.error(failure("too many messages at a time"));
    }
    Disposable.Swap running = Disposables.swap();
    messagesInFlight.add(running);
    running.update(handle(frame).doFinally(signal -> messagesInFlight.remove(running)).subscribe());
    return Mono.empty();
  }

  private Mono<Void> handle(PeerFrame frame) {
    return context
        .handlers()
        .handle(identity(), frame)
        .doOnNext(body -> enqueue(new PeerFrame(frame.type(), frame.correlation(), true, body)))
        .doOnError(e -> Logger.debug(e, "peer message {} failed", frame.type()))
        .onErrorComplete()
        .then();
  }

  private Mono<Void> completePending(PeerFrame frame) {
    Optional.ofNullable(pendingResponses.get(frame.correlation()))
        .ifPresent(sink -> sink.tryEmitValue(frame.body()));
    return Mono.empty();
  }

  private void enqueue(PeerFrame frame) {
    Sinks.EmitResult result;
    synchronized (outgoing) {
      result = outgoing.tryEmitNext(frame);
    }
    if (result == Sinks.EmitResult.FAIL_OVERFLOW) {
      connection.dispose();
    }
  }

  private ByteBuf encodeAndCount(PeerFrame frame) {
    byte[] bytes = context.codec().encode(frame);
    count(frame.type(), "out", bytes.length);
    ByteBuf framed = Unpooled.buffer(PeerTransport.LENGTH_FIELD_BYTES + bytes.length);
    return framed.writeInt(bytes.length).writeBytes(bytes);
  }

  private void count(String type, String direction, int bytes) {
    String known = context.handlers().isRegistered(type) ? type : "other";
    context.metrics().peerMessage(known, direction, bytes + PeerTransport.LENGTH_FIELD_BYTES);
  }

  private static PeerFrame expect(String type, PeerFrame frame) {
    if (!type.equals(frame.type())) {
      throw failure("expected " + type + " but got another frame");
    }
    return frame;
  }

  private static PeerException failure(String why) {
    return new PeerException(why, null);
  }
}
