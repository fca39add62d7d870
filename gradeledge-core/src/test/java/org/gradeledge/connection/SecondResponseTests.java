package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls to an upstream that sends more than one response to a request, whole or in part. */
@Timeout(120)
class SecondResponseTests {

  private static final int READ_TIMEOUT_MILLIS = 20_000;
  private static final String EARLIER = "earlier";
  private static final String OWN = "own";
  private static final String BODY = "the body";

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
  private final PooledUpstreamCaller caller =
      new PooledUpstreamCaller(
          loop, UpstreamConnectors.withoutTunnels(loop), upstream -> 10, System::nanoTime);
  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

  SecondResponseTests() throws IOException {}

  /** Forms of a surplus response. */
  enum Surplus {
    WITH_LENGTH("X-Request-Id: earlier\r\nX-Response-Stamp: stamp\r\nContent-Length: 8\r\n", BODY),
    ID_LAST("Content-Type: text/plain\r\nContent-Length: 8\r\nX-Request-Id: earlier\r\n", BODY),
    CHUNKED(
        "Transfer-Encoding: chunked\r\nX-Request-Id: earlier\r\n",
        "8\r\n" + BODY + "\r\n0\r\n\r\n"),
    WITHOUT_LENGTH("Server: upstream\r\nX-Request-Id: earlier\r\n", BODY),
    WITHOUT_ID("Content-Length: 8\r\nDate: Fri, 04 Dec 2026 20:39:27 GMT\r\n", BODY);

    private final String text;

    Surplus(String headers, String body) {
      text = "HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body;
    }
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  // Guards against a success where the upstream answered with a failure: a response that ends in
  // its
  // head takes over the rest of the next one.
  @ParameterizedTest
  @EnumSource(Surplus.class)
  void failureIsNoSuccessAfterAResponseThatEndsAnywhere(Surplus surplus) throws Exception {
    Map<Integer, String> outcomesByLength = outcomesAfterEachPartOf(surplus, 500);

    assertThat(outcomesByLength.values())
        .allSatisfy(
            outcome -> assertThat(outcome).isIn("500 stamp-own the body", "BROKEN", "GARBLED"));
  }

  // Guards against a success with headers of another response.
  @ParameterizedTest
  @EnumSource(Surplus.class)
  void successHasItsOwnHeadAfterAResponseThatEndsAnywhere(Surplus surplus) throws Exception {
    Map<Integer, String> outcomesByLength = outcomesAfterEachPartOf(surplus, 201);

    assertThat(outcomesByLength.values())
        .allSatisfy(
            outcome -> assertThat(outcome).isIn("201 stamp-own the body", "BROKEN", "GARBLED"));
  }

  // Guards against the first bytes of a response that wait on an idle connection for the next call.
  @ParameterizedTest
  @ValueSource(
      strings = {"H", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n"})
  void idleConnectionIsClosedByPartOfAResponse(String part) throws Exception {
    send(OWN, ConnectionReuse.ANY);
    try (Socket upstream = acceptRequest()) {
      write(upstream, response(200, OWN));
      assertThat(outcomes.take()).isEqualTo("200 stamp-own the body");
      write(upstream, part);

      assertThat(upstream.getInputStream().read()).isEqualTo(-1);
    }
  }

  // Guards against the same where the bytes arrive together with the end of a response.
  @ParameterizedTest
  @ValueSource(
      strings = {"H", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n"})
  void connectionIsNotReusedAfterAResponseWithPartOfAnother(String part) throws Exception {
    send(OWN, ConnectionReuse.ANY);
    try (Socket upstream = acceptRequest()) {
      write(upstream, response(200, OWN) + part);

      assertThat(outcomes.take()).isEqualTo("200 stamp-own the body");
      assertThat(upstream.getInputStream().read()).isEqualTo(-1);
    }
  }

  // Guards against the late response to an earlier call that has the same id.
  @Test
  void callWithAnIdThatAConnectionHasCarriedUsesAnotherOne() throws Exception {
    send(OWN, ConnectionReuse.ANY);
    try (Socket first = acceptRequest()) {
      write(first, response(500, OWN));
      assertThat(outcomes.take()).isEqualTo("500 stamp-own the body");

      send(OWN, ConnectionReuse.ANY);

      try (Socket second = acceptRequest()) {
        write(second, response(201, OWN));
        assertThat(outcomes.take()).isEqualTo("201 stamp-own the body");
      }
    }
  }

  // Guards against a late second response to HEAD, whose length is that of no content, and which
  // would take the content of the next response.
  @Test
  void connectionIsNotReusedAfterAResponseToHead() throws Exception {
    OutgoingRequest head = request(HttpMethod.HEAD, OWN, ConnectionReuse.ANY);
    loop.submit(() -> caller.call(upstream(), head, new Recorder())).sync();
    try (Socket upstream = acceptRequest()) {
      write(upstream, response(200, OWN).replace(BODY, ""));

      assertThat(outcomes.take()).isEqualTo("200 stamp-own");
      assertThat(upstream.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Test
  void wholeResponseToAnotherCallIsSkipped() throws Exception {
    send(OWN, ConnectionReuse.ANY);
    try (Socket upstream = acceptRequest()) {
      write(upstream, response(200, EARLIER) + response(500, OWN));

      assertThat(outcomes.take()).isEqualTo("500 stamp-own the body");
      assertThat(upstream.getInputStream().read()).isEqualTo(-1);
    }
  }

  /** Returns the outcome of a call by the number of bytes of a surplus response that precede it. */
  private Map<Integer, String> outcomesAfterEachPartOf(Surplus surplus, int status)
      throws Exception {
    Map<Integer, String> outcomesByLength = new TreeMap<>();
    for (int length = 0; length <= surplus.text.length(); length++) {
      send(OWN, ConnectionReuse.NONE);
      try (Socket upstream = acceptRequest()) {
        write(upstream, surplus.text.substring(0, length) + response(status, OWN));
        upstream.shutdownOutput();
        outcomesByLength.put(length, outcomes.take());
      }
    }
    return outcomesByLength;
  }

  private static String response(int status, String id) {
    return "HTTP/1.1 "
        + status
        + " Reason\r\nX-Request-Id: "
        + id
        + "\r\nX-Response-Stamp: stamp-"
        + id
        + "\r\nContent-Length: "
        + BODY.length()
        + "\r\n\r\n"
        + BODY;
  }

  private void send(String id, ConnectionReuse reuse) throws InterruptedException {
    loop.submit(() -> caller.call(upstream(), request(HttpMethod.GET, id, reuse), new Recorder()))
        .sync();
  }

  /** Accepts a connection and reads the head of a request on it. */
  private Socket acceptRequest() throws IOException {
    server.setSoTimeout(READ_TIMEOUT_MILLIS);
    Socket upstream = server.accept();
    upstream.setSoTimeout(READ_TIMEOUT_MILLIS);
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) upstream.getInputStream().read());
    }
    return upstream;
  }

  private static void write(Socket upstream, String text) throws IOException {
    upstream.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private UpstreamRecord upstream() {
    return new UpstreamRecord(
        "id", "service", "127.0.0.1", server.getLocalPort(), "zone", 1, false);
  }

  private static OutgoingRequest request(HttpMethod method, String id, ConnectionReuse reuse) {
    return new OutgoingRequest(
        method,
        "/",
        new DefaultHttpHeaders().set("Host", "a").set("X-Request-Id", id),
        new byte[0],
        Optional.of(new CorrelationHeader("X-Request-Id", id)),
        reuse);
  }

  /** Records the status, the signature and the body of a response, or the failure of the call. */
  private final class Recorder implements CallListener {

    private final List<String> parts = new ArrayList<>();

    @Override
    public void onHead(int status, HttpHeaders headers) {
      parts.add(String.valueOf(status));
      parts.addAll(headers.getAll("X-Response-Stamp"));
    }

    @Override
    public void onContent(ByteBuf received) {
      parts.add(received.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void onComplete() {
      outcomes.add(String.join(" ", parts));
    }

    @Override
    public void onFailure(CallFailure failure) {
      outcomes.add(failure.name());
    }
  }
}
