import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends each request on a connection of its own. */
final class Caller {
  private static final int CONNECT_MILLIS = 1_000;

  private Caller() {}

  static String request(String method, String path, String id, String headers, String body) {
    return method + " " + path + " HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id + "\r\n"
        + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Sends a request and returns its whole answer. */
  static Http send(int port, String request, int timeoutMillis) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_MILLIS);
      socket.setSoTimeout(timeoutMillis);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      return Http.read(new BufferedInputStream(socket.getInputStream()));
    }
  }
}
