package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerResponse;

@Timeout(30)
class PooledUpstreamCallerTests {

  private static final int LIMIT = 2;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> connections = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
  private final AtomicLong suspendedNanos = new AtomicLong();
  private final PooledUpstreamCaller caller =
      new PooledUpstreamCaller(
          loop,
          UpstreamConnectors.withoutTunnels(loop),
          upstream -> LIMIT,
          () -> System.nanoTime() + suspendedNanos.get());
  private DisposableServer server;

  @BeforeEach
  void startServer() {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .doOnChannelInit((observer, channel, remote) -> connections.add("opened"))
            .handle(
                (request, response) -> {
                  received.add(request.uri());
                  return respond(request.uri(), response);
                })
            .bindNow();
  }

  private static Publisher<Void> respond(String uri, HttpServerResponse response) {
    if (uri.equals("/closing")) {
      response.header("Connection", "close");
    }
    return uri.equals("/never") ? Mono.never() : response.sendString(Mono.just("ok"));
  }

  @AfterEach
  void stopServer() {
    server.disposeNow();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void reusesIdleConnections() throws Exception {
    for (int i = 0; i < 5; i++) {
      assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo("ok");
    }
    assertThat(connections).hasSize(1);
  }

  @Test
  void discardedConnectionsAreNotReused() throws Exception {
    assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo("ok");

    loop.submit(() -> caller.discardConnections(upstream())).get();

    assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo("ok");
    assertThat(connections).hasSize(2);
  }

  /**
   * Guards against requests on connections that the upstream closed during a suspension of the box.
   */
  @Test
  void connectionThatWasIdleDuringASuspensionIsNotReused() throws Exception {
    assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo("ok");
    suspendedNanos.set(TimeUnit.SECONDS.toNanos(10));

    assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo("ok");

    assertThat(connections).hasSize(2);
  }

  @Test
  void idleConnectionsAreClosedOnRequest() throws Exception {
    assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo("ok");
    loop.submit(caller::closeIdle).sync();

    assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo("ok");
    assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo("ok");

    assertThat(connections).hasSize(2);
  }

  @Test
  void callsWithoutReuseDoNotExhaustTheConnectionLimit() throws Exception {
    for (int i = 0; i < 5 * LIMIT; i++) {
      assertThat(call("/a", ConnectionReuse.NONE)).isEqualTo("ok");
    }
    assertThat(connections).hasSize(5 * LIMIT);
  }

  @Test
  void idleConnectionIsClosedForANewOneAtTheLimit() throws Exception {
    assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo("ok");
    send("/never", ConnectionReuse.NONE);

    assertThat(call("/a", ConnectionReuse.NONE)).isEqualTo("ok");
  }

  @Test
  void callAboveTheConnectionLimitFailsUnsent() throws Exception {
    for (int i = 0; i < LIMIT; i++) {
      send("/never", ConnectionReuse.ANY);
    }

    assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo(CallFailure.NO_CONNECTION_FREE.name());
  }

  @Test
  void callToAClosedPortFailsUnsent() throws Exception {
    server.disposeNow();

    assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo(CallFailure.NOT_CONNECTED.name());
  }

  /** Guards against requests to a retired upstream after a slow connection attempt. */
  @Test
  void waitingCallIsNotSentToARetiredUpstream() throws Exception {
    loop.submit(
            () -> {
              caller.call(upstream(), request("/late", ConnectionReuse.ANY), new Recorder());
              caller.retire(upstream());
            })
        .sync();

    assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo(CallFailure.ENDED.name());
    assertThat(call("/next", ConnectionReuse.ANY)).isEqualTo("ok");
    assertThat(received).containsExactly("/next");
  }

  /** Guards against requests during a backoff after a slow connection attempt. */
  @Test
  void waitingCallIsNotSentDuringABackoff() throws Exception {
    loop.submit(
            () -> {
              caller.call(upstream(), request("/late", ConnectionReuse.ANY), new Recorder());
              caller.backOff(upstream());
            })
        .sync();

    assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo(CallFailure.HELD_OFF.name());
    assertThat(call("/next", ConnectionReuse.ANY)).isEqualTo("ok");
    assertThat(received).containsExactly("/next");
  }

  @Test
  void callInFlightToARetiredUpstreamContinues() throws Exception {
    send("/never", ConnectionReuse.ANY);
    assertThat(received.poll(20, TimeUnit.SECONDS)).isEqualTo("/never");

    loop.submit(() -> caller.retire(upstream())).sync();

    assertThat(call("/next", ConnectionReuse.ANY)).isEqualTo("ok");
    assertThat(outcomes).isEmpty();
  }

  @Test
  void callsToAReplacedIncarnationAreAborted() throws Exception {
    send("/never", ConnectionReuse.ANY);
    assertThat(received.poll(20, TimeUnit.SECONDS)).isEqualTo("/never");

    loop.submit(() -> caller.abort(upstream())).sync();

    assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo(CallFailure.BROKEN.name());
    assertThat(call("/next", ConnectionReuse.ANY)).isEqualTo("ok");
  }

  @Test
  void responseHeadShowsThatTheUpstreamClosesTheConnection() throws Exception {
    BlockingQueue<String> closing = new LinkedBlockingQueue<>();
    caller.onResponse(
        (upstream, head) -> {
          if (head.closesConnection()) {
            closing.add(upstream.id());
          }
        });

    assertThat(call("/a", ConnectionReuse.ANY)).isEqualTo("ok");
    assertThat(closing).isEmpty();
    assertThat(call("/closing", ConnectionReuse.ANY)).isEqualTo("ok");
    assertThat(closing).containsExactly("id");
  }

  @Test
  void probeShowsWhetherAnUpstreamIsAlive() throws Exception {
    assertThat(probe()).isEqualTo(LivenessResult.THERE);

    server.disposeNow();

    assertThat(probe()).isEqualTo(LivenessResult.REFUSED);
    assertThat(received).isEmpty();
  }

  private LivenessResult probe() throws InterruptedException {
    BlockingQueue<LivenessResult> results = new LinkedBlockingQueue<>();
    loop.submit(() -> caller.probe(upstream(), results::add)).sync();
    return results.poll(20, TimeUnit.SECONDS);
  }

  private String call(String uri, ConnectionReuse reuse) throws InterruptedException {
    send(uri, reuse);
    return outcomes.poll(20, TimeUnit.SECONDS);
  }

  private UpstreamRecord upstream() {
    return new UpstreamRecord("id", "service", "127.0.0.1", server.port(), "zone", 1, false);
  }

  private void send(String uri, ConnectionReuse reuse) throws InterruptedException {
    loop.submit(() -> caller.call(upstream(), request(uri, reuse), new Recorder())).sync();
  }

  private static OutgoingRequest request(String uri, ConnectionReuse reuse) {
    return new OutgoingRequest(
        HttpMethod.GET,
        uri,
        new DefaultHttpHeaders().set("Host", "a"),
        new byte[0],
        Optional.empty(),
        reuse);
  }

  private final class Recorder implements CallListener {

    private final StringBuilder body = new StringBuilder();

    @Override
    public void onHead(int status, HttpHeaders headers) {}

    @Override
    public void onContent(ByteBuf content) {
      body.append(content.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void onComplete() {
      outcomes.add(body.toString());
    }

    @Override
    public void onFailure(CallFailure failure) {
      outcomes.add(failure.name());
    }
  }
}
