package org.gradeledge.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class EngineStandInTests {

  private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: engine\r\n\r\n";
  private static final int READ_MILLIS = 20_000;

  @Test
  void answersNothingMoreOnOpenConnectionsOnceItIsClosed() throws Exception {
    EngineStandIn engine = new EngineStandIn(0, EngineTiming.fast(), new RunLog(true));
    try (Socket kept = new Socket(InetAddress.getLoopbackAddress(), engine.port())) {
      kept.setSoTimeout(READ_MILLIS);
      ask(kept);
      assertThat(kept.getInputStream().read()).isEqualTo('H');

      engine.close();

      assertThat(readsToItsEnd(kept)).isTrue();
    }
  }

  private static void ask(Socket socket) throws IOException {
    socket.getOutputStream().write(HEALTH.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  /** Passes over the first answer; returns whether the connection ends instead of a second one. */
  private static boolean readsToItsEnd(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    try {
      ask(socket);
      String all = "H" + new String(in.readAllBytes(), StandardCharsets.US_ASCII);
      return all.indexOf("HTTP/1.1") == all.lastIndexOf("HTTP/1.1");
    } catch (SocketException e) {
      return true;
    }
  }
}
