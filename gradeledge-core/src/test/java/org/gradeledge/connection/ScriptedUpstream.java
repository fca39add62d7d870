package org.gradeledge.connection;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Upstream that sends prepared bytes, which need not be a valid response, to the requests of each
 * path and then ends the connection in a given way. Thread-safe.
 */
public final class ScriptedUpstream implements AutoCloseable {

  private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
  private static final int BACKLOG = 1_000;

  /** What the upstream does after it has sent its bytes. */
  public enum End {
    /** Closes the connection in order. */
    CLOSE {
      @Override
      boolean end(Socket connection) throws IOException {
        connection.shutdownOutput();
        return connection.getInputStream().read() >= 0;
      }
    },
    /** Resets the connection. */
    RESET {
      @Override
      boolean end(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        return false;
      }
    },
    /** Sends nothing more and serves the next request on the connection, if there is one. */
    SILENCE {
      @Override
      boolean end(Socket connection) {
        return true;
      }
    };

    /** Ends the connection; returns whether it serves further requests. */
    abstract boolean end(Socket connection) throws IOException;
  }

  /** The bytes to send, in ISO 8859-1, and the end after them. */
  private record Script(String bytes, End end) {}

  private final ServerSocket server;
  private final Map<String, Script> scripts = new ConcurrentHashMap<>();
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final AtomicInteger sent = new AtomicInteger();

  /** Starts an upstream on a free port. */
  public ScriptedUpstream() {
    try {
      server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    start(this::accept);
  }

  /** Sets the response to the requests of a path. */
  public void respond(String path, String bytes, End end) {
    scripts.put(path, new Script(bytes, end));
  }

  /** Returns the number of responses that were sent. */
  public int sentCount() {
    return sent.get();
  }

  /** Returns a record of this upstream. */
  public UpstreamRecord upstream(String id) {
    return new UpstreamRecord(id, "service", "127.0.0.1", server.getLocalPort(), "zone", 1, false);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "upstream");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = server.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        start(() -> serve(connection));
      }
    } catch (IOException e) {
      // The server was closed.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      boolean open = true;
      while (open) {
        Script script = scriptOf(readPath(connection.getInputStream()));
        connection.getOutputStream().write(script.bytes().getBytes(StandardCharsets.ISO_8859_1));
        sent.incrementAndGet();
        open = script.end().end(connection);
      }
    } catch (IOException e) {
      // The caller has closed the connection, or the test has set no response.
    }
  }

  private Script scriptOf(String path) throws IOException {
    return Optional.ofNullable(scripts.get(path))
        .orElseThrow(() -> new IOException("no response to " + path));
  }

  /** Reads a request and returns its path. */
  private static String readPath(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException();
      }
      head.append((char) next);
    }
    Matcher length = CONTENT_LENGTH.matcher(head);
    in.skipNBytes(length.find() ? Long.parseLong(length.group(1)) : 0);
    return head.substring(head.indexOf(" ") + 1, head.indexOf(" HTTP/"));
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
