import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Many sound engines of one service in this process, each on its own loopback port. */
final class EngineFarm {
  /** Receives each request that an engine runs. */
  interface Listener {
    void ran(int engine, String requestId, long nanos);
  }

  private static final int STACK = 128 * 1024;

  private final List<ServerSocket> listeners = new ArrayList<>();
  private final Set<Integer> leaving = ConcurrentHashMap.newKeySet();
  private final long workMs;
  private final Listener listener;

  EngineFarm(int count, long workMs, Listener listener) throws IOException {
    this.workMs = workMs;
    this.listener = listener;
    for (int number = 0; number < count; number++) {
      ServerSocket socket = new ServerSocket();
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
      listeners.add(socket);
      int engine = number;
      start(() -> accept(socket, engine));
    }
  }

  static String id(int engine) {
    return String.format("i-%04x%04x", engine * 40503 & 0xffff, engine);
  }

  String address(int engine) {
    return "127.0.0.1:" + listeners.get(engine).getLocalPort();
  }

  /** Lets an engine say "Connection: close" in its answers from now on, as one that is leaving. */
  void leave(int engine) {
    leaving.add(engine);
  }

  /** Ends an engine: it accepts no connection any more. */
  void end(int engine) throws IOException {
    listeners.get(engine).close();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(null, task, "engine", STACK);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket socket, int engine) {
    try {
      while (true) {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        start(() -> serve(connection, engine));
      }
    } catch (IOException e) {
      // the engine has ended
    }
  }

  private void serve(Socket socket, int engine) {
    try (socket) {
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      socket.setSoTimeout(3_000);
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        in.readNBytes((int) Math.max(0, head.length()));
        String id = head.header("x-request-id");
        boolean own = head.header("x-expect-instance").equals(id(engine));
        if (own) {
          listener.ran(engine, id, System.nanoTime());
          Thread.sleep(workMs);
        }
        String body = own ? "answer to " + id : "";
        String status = own ? "200 OK" : "421 Misdirected Request";
        boolean last = leaving.contains(engine);
        out.write(
            ("HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\n"
                    + (own ? "X-Response-Stamp: 3e1b.07." + id + "\r\n" : "X-Not-Run: 1\r\n")
                    + (last ? "Connection: close\r\n" : "Keep-Alive: timeout=3\r\n")
                    + "Content-Length: " + body.length() + "\r\n\r\n"
                    + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        if (last) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // the connection is gone
    }
  }
}
