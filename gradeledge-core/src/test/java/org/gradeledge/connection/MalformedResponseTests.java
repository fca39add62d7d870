package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.ScriptedUpstream.End;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls to an upstream whose response is not valid, or leaves open where it ends. */
@Timeout(60)
class MalformedResponseTests {

  private static final int MANY_CONNECTIONS = 10;
  private static final List<String> FAILED =
      List.of(CallFailure.BROKEN.name(), CallFailure.GARBLED.name());

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final ScriptedUpstream upstream = new ScriptedUpstream();
  private final PooledUpstreamCaller caller =
      new PooledUpstreamCaller(
          loop,
          UpstreamConnectors.withoutTunnels(loop),
          target -> MANY_CONNECTIONS,
          System::nanoTime);
  private final RecordedCalls calls = new RecordedCalls(loop, caller);

  @AfterEach
  void stop() throws IOException {
    upstream.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  // Guards against responses of another protocol, or of none, that count as a success.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "XHTTP/1.1 200 OK",
        "RTSP/1.0 200 OK",
        "HTTP/1.1200 OK",
        "200 OK",
        "OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2 00 OK",
        "HTTP/1.1 HTTP/1.1 200 OK",
        "HTTP/1.1 101 Switching Protocols"
      })
  void failsAfterAnotherStatusLine(String statusLine) throws Exception {
    assertFails(statusLine, "Content-Length: 5", "whole");
  }

  // Guards against a status that a number parser reads as another one.
  @ParameterizedTest
  @ValueSource(strings = {"0200", "+200", "00200", "000", "099", "-01", "2OO", "600", "999"})
  void failsAfterAStatusThatIsNotThreeDigits(String status) throws Exception {
    assertFails("HTTP/1.1 " + status + " OK", "Content-Length: 5", "whole");
  }

  // Guards against a body that is announced where the protocol has none.
  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 5", "Transfer-Encoding: chunked"})
  void failsAfterAnImpossibleBody(String header) throws Exception {
    assertFails("HTTP/1.1 204 No Content", header, "");
  }

  // Guards against a status line of another version, or with a status of four digits.
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/2.0 200 OK", "HTTP/1.1 2000 OK"})
  void failsAfterAStatusLineThatIsNotOfTheProtocol(String statusLine) throws Exception {
    assertFails(statusLine, "Content-Length: 5", "whole");
  }

  // Guards against a body that is cut to a length which another header contradicts.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 5x",
        "Content-Length: -5",
        "Content-Length: +5",
        "Content-Length: ",
        "Content-Length: 5\r\nContent-Length: 3",
        "Content-Length: 3\r\nContent-Length: 5",
        "Content-Length: 3, 5",
        "Content-Length: 99999999999999999999"
      })
  void failsAfterAnInvalidLength(String length) throws Exception {
    assertFails("HTTP/1.1 200 OK", length, "whole");
  }

  // Guards against the two lengths of a response of HTTP/1.0, of which the decoder takes the first.
  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 3\r\nContent-Length: 5", "Content-Length: 3, 5"})
  void failsAfterTwoLengthsOfAnEarlierVersion(String lengths) throws Exception {
    assertFails("HTTP/1.0 200 OK", lengths, "whole");
  }

  // Guards against a body in an encoding that no caller asked for, or whose sizes are passed on.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Transfer-Encoding: chunke",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
        "Transfer-Encoding: gzip\r\nContent-Length: 5"
      })
  void failsAfterAnotherTransferEncoding(String encoding) throws Exception {
    assertFails("HTTP/1.1 200 OK", encoding, "5\r\nwhole\r\n0\r\n\r\n");
  }

  // Guards against part of a body after a size of a chunk that cannot be read.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\n0\r\n\r\n",
        "x\r\nwhole\r\n0\r\n\r\n",
        "-5\r\nwhole\r\n0\r\n\r\n",
        "3\r\nwhole\r\n0\r\n\r\n",
        "fffffffff\r\nwhole\r\n0\r\n\r\n",
        "5\r\nwhole0\r\n\r\n"
      })
  void failsAfterAnInvalidChunk(String chunks) throws Exception {
    assertFails("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", chunks);
  }

  // Guards against a head whose lines the decoder joins or drops.
  @ParameterizedTest
  @ValueSource(strings = {"X-A", ": a", "X-A: b\rContent-Length: 3", "X-A: \0"})
  void failsAfterAnInvalidHeader(String header) throws Exception {
    assertFails("HTTP/1.1 200 OK", header + "\r\nContent-Length: 5", "whole");
  }

  private void assertFails(String statusLine, String headers, String body) throws Exception {
    for (End end : List.of(End.CLOSE, End.RESET)) {
      String path = "/" + end;
      upstream.respond(
          path, statusLine + "\r\nX-Request-Id: r\r\n" + headers + "\r\n\r\n" + body, end);
      calls.start(upstream.upstream("u"), HttpMethod.GET, path, ResponseForm.ID);

      assertThat(calls.outcome(path)).isIn(FAILED);
    }
  }
}
