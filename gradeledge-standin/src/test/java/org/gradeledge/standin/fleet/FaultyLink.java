package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;

/** A loopback proxy before one address, whose connections can be harmed. Thread-safe. */
final class FaultyLink implements AutoCloseable {

  /** What is wrong with the link. */
  enum Fault {
    /** Nothing. */
    NONE,
    /** Bytes arrive late. */
    DELAY,
    /** What is sent towards the target is lost, though the connection stays. */
    DROP_TO_TARGET,
    /** What the target sends is lost, though the connection stays. */
    DROP_FROM_TARGET,
    /** Connections that are open say nothing any more, for good; new ones work. */
    SILENCE_OPEN_CONNECTIONS,
    /** Connections are reset, new ones too. */
    RESET
  }

  private static final long DELAY_NANOS = 60_000_000;
  private static final int BUFFER_BYTES = 16 * 1024;

  private final InetSocketAddress target;
  private final ServerSocket listener;
  private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
  private final Set<Socket> silencedSockets = ConcurrentHashMap.newKeySet();
  private volatile Fault fault = Fault.NONE;

  FaultyLink(String targetAddress) throws IOException {
    int colon = targetAddress.lastIndexOf(':');
    this.target =
        new InetSocketAddress(
            targetAddress.substring(0, colon),
            Integer.parseInt(targetAddress.substring(colon + 1)));
    this.listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    DaemonThread.start("link", this::acceptConnections);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void setFault(Fault next) {
    fault = next;
    if (next == Fault.RESET) {
      openSockets.forEach(FaultyLink::reset);
    }
    if (next == Fault.SILENCE_OPEN_CONNECTIONS) {
      silencedSockets.addAll(openSockets);
    }
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket near = listener.accept();
        DaemonThread.start("link", () -> connectToTarget(near));
      }
    } catch (IOException e) {
      // The link was closed.
    }
  }

  private void connectToTarget(Socket near) {
    if (fault == Fault.RESET) {
      reset(near);
      return;
    }
    try {
      Socket far = new Socket();
      far.connect(target);
      openSockets.add(near);
      openSockets.add(far);
      DaemonThread.start("link", () -> forwardUntilClosed(near, far, Fault.DROP_TO_TARGET));
      forwardUntilClosed(far, near, Fault.DROP_FROM_TARGET);
    } catch (IOException e) {
      reset(near);
    }
  }

  private void forwardUntilClosed(Socket from, Socket to, Fault loses) {
    try {
      forwardBytes(from, to, loses);
      from.close();
      to.close();
    } catch (IOException e) {
      // A reset is passed on as a reset: an answer without length that is reset is not whole.
      reset(to);
      reset(from);
    } finally {
      openSockets.remove(from);
    }
  }

  private void forwardBytes(Socket from, Socket to, Fault loses) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    InputStream in = from.getInputStream();
    for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
      if (fault == Fault.DELAY) {
        LockSupport.parkNanos(DELAY_NANOS);
      }
      if (fault != loses && !silencedSockets.contains(from)) {
        to.getOutputStream().write(buffer, 0, count);
      }
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    openSockets.forEach(FaultyLink::reset);
  }
}
