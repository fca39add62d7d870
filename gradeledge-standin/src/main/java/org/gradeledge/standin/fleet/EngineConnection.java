package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;

/**
 * Connection of a caller to an engine that sends raw responses. Each method returns whether the
 * connection stays open.
 *
 * @param socket the connection
 * @param headRewriter adds the announcements of the engine to the headers of a response
 * @param silence decides whether the connection still carries anything
 */
record EngineConnection(Socket socket, UnaryOperator<String> headRewriter, EngineSilence silence) {

  private static final long EVENT_DELAY_NANOS = 150_000_000;

  boolean send(String text) throws IOException {
    if (silence.isSevered(socket)) {
      return hang();
    }
    return write(text);
  }

  private boolean write(String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(RawHttpResponse.bytes(headRewriter.apply(text)));
    out.flush();
    return true;
  }

  /** Sends a partial response and closes the connection normally. */
  boolean sendAndClose(String text) throws IOException {
    send(text);
    socket.shutdownOutput();
    return false;
  }

  /** Sends a partial response and resets the connection. */
  boolean sendAndReset(String text) throws IOException {
    send(text);
    return reset(socket);
  }

  /** Sends an event stream with a delay before each of its events. */
  boolean sendSlowly(ReceivedRequest request, List<String> events)
      throws IOException, InterruptedException {
    return sendEvents(request, events, EVENT_DELAY_NANOS);
  }

  /** Sends an event stream, which may fall silent. */
  boolean sendEvents(ReceivedRequest request, List<String> events)
      throws IOException, InterruptedException {
    return sendEvents(request, events, 0);
  }

  private boolean sendEvents(ReceivedRequest request, List<String> events, long delayNanos)
      throws IOException, InterruptedException {
    String run = request.header("X-Request-Id");
    try {
      send(RawHttpResponse.eventStreamHead(request, FleetEngineResponses.CHUNKED));
      for (int event = 0; event < events.size(); event++) {
        LockSupport.parkNanos(delayNanos);
        silence.beforeEvent(run, event, socket);
        sendUnlessSevered(RawHttpResponse.chunk(events.get(event)));
      }
    } finally {
      silence.runEnded(run);
    }
    return send("0\r\n\r\n");
  }

  private void sendUnlessSevered(String text) throws IOException {
    if (!silence.isSevered(socket)) {
      write(text);
    }
  }

  /** Sends no response; returns when the caller sends more data or closes the connection. */
  boolean hang() throws IOException {
    return socket.getInputStream().read() >= 0;
  }

  boolean reset() throws IOException {
    return reset(socket);
  }

  /** Resets a connection; does nothing if the caller has already closed it. */
  static boolean reset(Socket socket) throws IOException {
    try (socket) {
      socket.setSoLinger(true, 0);
    } catch (SocketException e) {
      return false;
    }
    return false;
  }
}
