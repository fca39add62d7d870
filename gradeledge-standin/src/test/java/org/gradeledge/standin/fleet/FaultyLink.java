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

/** A loopback TCP proxy in front of one address that injects network faults. Thread-safe. */
final class FaultyLink implements AutoCloseable {

  /** A network fault. */
  enum Fault {
    /** No fault. */
    NONE,
    /** Delays all bytes. */
    DELAY,
    /** Drops all bytes sent to the target and keeps the connection open. */
    DROP_TO_TARGET,
    /** Drops all bytes sent by the target and keeps the connection open. */
    DROP_FROM_TARGET,
    /** Drops all bytes on open connections until they are closed; new connections work. */
    SILENCE_OPEN_CONNECTIONS,
    /** Resets open and new connections. */
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

  void setFault(Fault newFault) {
    fault = newFault;
    if (newFault == Fault.RESET) {
      openSockets.forEach(FaultyLink::reset);
    }
    if (newFault == Fault.SILENCE_OPEN_CONNECTIONS) {
      silencedSockets.addAll(openSockets);
    }
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket client = listener.accept();
        DaemonThread.start("link", () -> connectToTarget(client));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void connectToTarget(Socket client) {
    if (fault == Fault.RESET) {
      reset(client);
      return;
    }
    try {
      Socket server = new Socket();
      server.connect(target);
      openSockets.add(client);
      openSockets.add(server);
      DaemonThread.start("link", () -> forwardUntilClosed(client, server, Fault.DROP_TO_TARGET));
      forwardUntilClosed(server, client, Fault.DROP_FROM_TARGET);
    } catch (IOException e) {
      reset(client);
    }
  }

  private void forwardUntilClosed(Socket from, Socket to, Fault dropFault) {
    try {
      forwardBytes(from, to, dropFault);
      from.close();
      to.close();
    } catch (IOException e) {
      // Forwards a reset as a reset: a response without a length would look complete after a close.
      reset(to);
      reset(from);
    } finally {
      openSockets.remove(from);
    }
  }

  private void forwardBytes(Socket from, Socket to, Fault dropFault) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    InputStream in = from.getInputStream();
    for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
      if (fault == Fault.DELAY) {
        LockSupport.parkNanos(DELAY_NANOS);
      }
      if (fault != dropFault && !silencedSockets.contains(from)) {
        to.getOutputStream().write(buffer, 0, count);
      }
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The socket is already closed.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    openSockets.forEach(FaultyLink::reset);
  }
}
