package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;

/**
 * One connection of a caller to an engine, on which answers go out byte by byte. Each method
 * returns whether the connection goes on.
 *
 * @param socket the connection
 * @param headRewriter puts into the head of an answer what the engine says of itself
 */
record EngineConnection(Socket socket, UnaryOperator<String> headRewriter) {

  private static final long EVENT_DELAY_NANOS = 150_000_000;

  boolean send(String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(RawHttpResponse.bytes(headRewriter.apply(text)));
    out.flush();
    return true;
  }

  /** Sends the beginning of an answer and closes in good order. */
  boolean sendAndClose(String text) throws IOException {
    send(text);
    socket.shutdownOutput();
    return false;
  }

  /** Sends the beginning of an answer and resets. */
  boolean sendAndReset(String text) throws IOException {
    send(text);
    return reset(socket);
  }

  /** Sends a stream whose events take about a second. */
  boolean sendSlowly(ReceivedRequest request) throws IOException {
    send(RawHttpResponse.eventStreamHead(request, FleetEngineResponses.CHUNKED));
    for (int event = 1; event <= FleetEngine.EVENTS; event++) {
      LockSupport.parkNanos(EVENT_DELAY_NANOS);
      send(RawHttpResponse.chunk("id: " + event + "\ndata: piece " + event + "\n\n"));
    }
    return send("0\r\n\r\n");
  }

  /** Never answers; returns once the caller does something. */
  boolean hang() throws IOException {
    return socket.getInputStream().read() >= 0;
  }

  boolean reset() throws IOException {
    return reset(socket);
  }

  /** A connection that its caller has closed by now needs no reset. */
  static boolean reset(Socket socket) throws IOException {
    try (socket) {
      socket.setSoLinger(true, 0);
    } catch (SocketException closed) {
      return false;
    }
    return false;
  }
}
