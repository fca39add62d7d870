package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;

/**
 * Connection of a caller to an engine that sends raw responses. Each method returns whether the
 * connection stays open. The thread that answers a request holds the monitor until it has done so.
 */
final class EngineConnection {

  private static final long EVENT_DELAY_NANOS = 150_000_000;
  private static final long PIECE_DELAY_NANOS = 5_000_000;

  private final Socket socket;
  private final UnaryOperator<String> headRewriter;
  private final EngineSilence silence;
  private String beforeNextAnswer = "";

  /**
   * Creates a connection.
   *
   * @param headRewriter adds the announcements of the engine to the headers of a response
   * @param silence decides whether the connection still carries anything
   */
  EngineConnection(Socket socket, UnaryOperator<String> headRewriter, EngineSilence silence) {
    this.socket = socket;
    this.headRewriter = headRewriter;
    this.silence = silence;
  }

  boolean send(String text) throws IOException {
    if (silence.isSevered(socket)) {
      return hang();
    }
    return write(headRewriter.apply(text));
  }

  private boolean write(String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(RawHttpResponse.bytes(beforeNextAnswer + text));
    out.flush();
    beforeNextAnswer = "";
    return true;
  }

  /** Adds the announcements of the engine to the headers of a response. */
  String addAnnouncements(String text) {
    return headRewriter.apply(text);
  }

  /** Sends an answer as planned. */
  boolean send(AnswerPlan plan) throws IOException {
    if (silence.isSevered(socket)) {
      return hang();
    }
    sendInPieces(plan.firstText(), plan.pieces());
    plan.lateParts().forEach(part -> DaemonThread.start("engine-late", () -> sendLate(part)));
    beforeNextAnswer = plan.beforeNext();
    return plan.end().apply(this);
  }

  private void sendInPieces(String text, int pieces) throws IOException {
    int pieceLength = text.length() / pieces + 1;
    write(text.substring(0, Math.min(pieceLength, text.length())));
    for (int from = pieceLength; from < text.length(); from += pieceLength) {
      LockSupport.parkNanos(PIECE_DELAY_NANOS);
      write(text.substring(from, Math.min(from + pieceLength, text.length())));
    }
  }

  private void sendLate(AnswerPlan.LatePart part) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(part.delayMillis()));
    synchronized (this) {
      try {
        sendUnlessSevered(part.text());
      } catch (IOException e) {
        // The connection was closed.
      }
    }
  }

  /** Sends a partial response and closes the connection normally. */
  boolean sendAndClose(String text) throws IOException {
    send(text);
    return closeInOrder();
  }

  boolean closeInOrder() throws IOException {
    socket.shutdownOutput();
    return false;
  }

  /** Sends a partial response and resets the connection. */
  boolean sendAndReset(String text) throws IOException {
    send(text);
    return reset(socket);
  }

  /** Sends an event stream with a delay before each of its events. */
  boolean sendSlowly(EngineAnswer stream) throws IOException, InterruptedException {
    return sendEvents(stream, EVENT_DELAY_NANOS);
  }

  /** Sends an event stream, which may fall silent. */
  boolean sendEvents(EngineAnswer stream) throws IOException, InterruptedException {
    return sendEvents(stream, 0);
  }

  private boolean sendEvents(EngineAnswer stream, long delayNanos)
      throws IOException, InterruptedException {
    String run = stream.request().header("X-Request-Id");
    List<String> events = stream.bodyParts();
    try {
      send(stream.head());
      for (int event = 0; event < events.size(); event++) {
        LockSupport.parkNanos(delayNanos);
        silence.beforeEvent(run, event, socket);
        sendUnlessSevered(RawHttpResponse.chunk(events.get(event)));
      }
    } finally {
      silence.runEnded(run);
    }
    return send(AnswerFraming.LAST_CHUNK);
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
