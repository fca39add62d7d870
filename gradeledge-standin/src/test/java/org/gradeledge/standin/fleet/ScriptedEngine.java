package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Engine that answers each request with the bytes that a test writes, which need not be a valid
 * response. Thread-safe.
 */
final class ScriptedEngine implements AutoCloseable {

  /** Answers one request; the connection is closed if the answer fails. */
  @FunctionalInterface
  interface Answer {

    void write(ReceivedRequest request, OutputStream out) throws IOException;
  }

  private final String id;
  private final Answer answer;
  private final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();
  private final EngineListener listener = new EngineListener(this::serve);

  /** Starts an engine on a free port. */
  ScriptedEngine(String id, Answer answer) {
    this.id = id;
    this.answer = answer;
    listener.open();
  }

  /** Writes text with one byte for each character. */
  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Registers the engine as ready. */
  void register(StoreStandIn store, String service) {
    String row =
        String.format(
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-a\",\"version\":\"v1\","
                + "\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}",
            service, listener.address());
    store.put("servers", id, row);
  }

  /** Returns the requests received so far. */
  List<ReceivedRequest> requests() {
    return requests;
  }

  private void serve(Socket socket) {
    try (socket) {
      RequestReader reader = new RequestReader(socket.getInputStream());
      Optional<ReceivedRequest> head = reader.readHead();
      while (head.isPresent()) {
        ReceivedRequest request = reader.readBody(head.get());
        requests.add(request);
        answer.write(request, socket.getOutputStream());
        head = reader.readHead();
      }
    } catch (IOException e) {
      // The connection was closed.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
