package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Calls to an upstream whose response has no length and ends with the connection. */
@Timeout(60)
class ResponseWithoutLengthTests {

  /** More than the socket buffers of both sides hold. */
  private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

  private static final int SHORT_BODY_BYTES = 10;
  private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
  private static final int FIRST_READ_BYTES = 1024;
  private static final int READ_TIMEOUT_MILLIS = 20_000;
  private static final String HALF = "half of ";
  private static final String REST = "a response";

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final BlockingQueue<String> content = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
  private final PooledUpstreamCaller caller =
      new PooledUpstreamCaller(
          loop, UpstreamConnectors.withoutTunnels(loop), upstream -> 1, System::nanoTime);
  private final ServerSocket server = new ServerSocket();

  ResponseWithoutLengthTests() throws IOException {
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void isCompleteAfterAnOrderlyClose() throws Exception {
    try (Socket upstream = sendHalf(SHORT_BODY_BYTES, "")) {
      upstream.getInputStream().readNBytes(1);
      write(upstream, REST);
      upstream.shutdownOutput();

      assertThat(outcomes.take()).isEqualTo(HALF + REST);
    }
  }

  @Test
  void isCompleteWhereItEndsAfterTheWholeOfALongRequest() throws Exception {
    try (Socket upstream = sendHalf(LONG_BODY_BYTES, "")) {
      readRequestBody(upstream);
      write(upstream, REST);
      upstream.shutdownOutput();

      assertThat(outcomes.take()).isEqualTo(HALF + REST);
    }
  }

  // Guards against half of a response that is passed on as complete after a reset.
  @Test
  void isBrokenAfterAReset() throws Exception {
    try (Socket upstream = sendHalf(SHORT_BODY_BYTES, "")) {
      reset(upstream);

      assertThat(outcomes.take()).isEqualTo(CallFailure.BROKEN.name());
    }
  }

  // Guards against a reset that a write meets first, and that then looks like an orderly close.
  @Test
  void isBrokenAfterAResetWhileTheRequestIsBeingWritten() throws Exception {
    try (Socket upstream = sendHalf(LONG_BODY_BYTES, "")) {
      reset(upstream);

      assertThat(outcomes.take()).isEqualTo(CallFailure.BROKEN.name());
    }
  }

  // Guards against half of a response from an upstream that ends before it has the whole request.
  @Test
  void isBrokenAfterAnOrderlyCloseWhileTheRequestIsBeingWritten() throws Exception {
    try (Socket upstream = sendHalf(LONG_BODY_BYTES, "")) {
      upstream.shutdownOutput();

      assertThat(outcomes.take()).isEqualTo(CallFailure.BROKEN.name());
    }
  }

  // Guards against a response with a length that counts as broken since its request is not read.
  @Test
  void responseWithLengthIsCompleteBeforeTheRequestIsWritten() throws Exception {
    String length = "Content-Length: " + (HALF + REST).length() + "\r\n";
    try (Socket upstream = sendHalf(LONG_BODY_BYTES, length)) {
      write(upstream, REST);

      assertThat(outcomes.take()).isEqualTo(HALF + REST);
    }
  }

  @Test
  void idleConnectionThatTheUpstreamClosesIsClosed() throws Exception {
    String length = "Content-Length: " + HALF.length() + "\r\n";
    try (Socket upstream = sendHalf(SHORT_BODY_BYTES, length)) {
      assertThat(outcomes.take()).isEqualTo(HALF);
      upstream.getInputStream().readNBytes(1);
      upstream.shutdownOutput();

      assertThat(upstream.getInputStream().read()).isEqualTo(-1);
    }
  }

  /**
   * Sends a request and the first half of its response; returns once the caller has received it.
   */
  private Socket sendHalf(int bodyBytes, String headers) throws Exception {
    loop.submit(() -> caller.call(upstream(), request(bodyBytes), new Recorder())).sync();
    Socket upstream = server.accept();
    upstream.setSoTimeout(READ_TIMEOUT_MILLIS);
    readHead(upstream);
    upstream.getInputStream().readNBytes(Math.min(FIRST_READ_BYTES, bodyBytes - 1));
    write(upstream, "HTTP/1.1 200 OK\r\n" + headers + "\r\n" + HALF);
    assertThat(content.take()).isEqualTo(HALF);
    return upstream;
  }

  private static void readHead(Socket upstream) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) upstream.getInputStream().read());
    }
  }

  private static void readRequestBody(Socket upstream) throws IOException {
    upstream.getInputStream().skipNBytes(LONG_BODY_BYTES - FIRST_READ_BYTES);
  }

  private static void write(Socket upstream, String text) throws IOException {
    upstream.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static void reset(Socket upstream) throws IOException {
    upstream.setSoLinger(true, 0);
    upstream.close();
  }

  private UpstreamRecord upstream() {
    return new UpstreamRecord(
        "id", "service", "127.0.0.1", server.getLocalPort(), "zone", 1, false);
  }

  private static OutgoingRequest request(int bodyBytes) {
    return new OutgoingRequest(
        HttpMethod.POST,
        "/",
        new DefaultHttpHeaders().set("Host", "a"),
        new byte[bodyBytes],
        Optional.empty(),
        ConnectionReuse.ANY);
  }

  /** Records the content as it arrives and the outcome of a call. */
  private final class Recorder implements CallListener {

    private final StringBuilder body = new StringBuilder();

    @Override
    public void onHead(int status, HttpHeaders headers) {}

    @Override
    public void onContent(ByteBuf received) {
      String text = received.toString(StandardCharsets.US_ASCII);
      body.append(text);
      content.add(text);
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
