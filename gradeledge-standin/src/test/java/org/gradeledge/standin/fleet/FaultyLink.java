package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
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
    RESET,
    /** Refuses new connections; open ones work. */
    REFUSE_NEW_CONNECTIONS,
    /** Resets open connections and refuses new ones. */
    RESET_AND_REFUSE,
    /** Drops all bytes on open connections and does not answer new ones. */
    HANG
  }

  private static final long DELAY_NANOS = 60_000_000;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int BACKLOG = 128;
  private static final int MAX_BIND_ATTEMPTS = 500;
  private static final long BIND_RETRY_NANOS = 2_000_000;

  /** More than the connections that the system queues for a backlog of 1. */
  private static final int CONNECTIONS_TO_FILL_BACKLOG = 3;

  private final InetSocketAddress target;
  private final int port;
  private final List<SocketChannel> queuedConnections = new CopyOnWriteArrayList<>();
  private volatile ServerSocket listener;
  private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
  private final Set<Socket> silencedSockets = ConcurrentHashMap.newKeySet();
  private volatile Fault fault = Fault.NONE;

  FaultyLink(String targetAddress) throws IOException {
    int colon = targetAddress.lastIndexOf(':');
    this.target =
        new InetSocketAddress(
            targetAddress.substring(0, colon),
            Integer.parseInt(targetAddress.substring(colon + 1)));
    this.listener = listen(0, BACKLOG);
    this.port = listener.getLocalPort();
    startAccepting();
  }

  /** Retries while the thread that accepted connections still holds the closed listener. */
  private static ServerSocket listen(int port, int backlog) throws IOException {
    for (int attempt = 1; ; attempt++) {
      ServerSocket socket = new ServerSocket();
      try {
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), backlog);
        return socket;
      } catch (BindException e) {
        socket.close();
        if (attempt == MAX_BIND_ATTEMPTS) {
          throw e;
        }
        LockSupport.parkNanos(BIND_RETRY_NANOS);
      }
    }
  }

  private void startAccepting() {
    ServerSocket accepting = listener;
    DaemonThread.start("link", () -> acceptConnections(accepting));
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  synchronized void setFault(Fault newFault) {
    try {
      applyFault(newFault);
    } catch (IOException e) {
      throw new UncheckedIOException("could not change the listener of the link", e);
    }
  }

  private void applyFault(Fault newFault) throws IOException {
    Fault previous = fault;
    fault = newFault;
    if (newFault == Fault.RESET || newFault == Fault.RESET_AND_REFUSE) {
      openSockets.forEach(FaultyLink::reset);
    }
    if (newFault == Fault.SILENCE_OPEN_CONNECTIONS || newFault == Fault.HANG) {
      silencedSockets.addAll(openSockets);
    }
    if (newFault == Fault.REFUSE_NEW_CONNECTIONS || newFault == Fault.RESET_AND_REFUSE) {
      listener.close();
    } else if (newFault == Fault.HANG) {
      listener.close();
      listener = listen(port, 1);
      fillBacklog();
    } else if (listener.isClosed() || previous == Fault.HANG) {
      accept();
    }
  }

  private void accept() throws IOException {
    listener.close();
    for (SocketChannel queued : queuedConnections) {
      queued.close();
    }
    queuedConnections.clear();
    listener = listen(port, BACKLOG);
    startAccepting();
  }

  /** Fills the queue of the listener, so that the system drops further attempts to connect. */
  private void fillBacklog() throws IOException {
    for (int number = 0; number < CONNECTIONS_TO_FILL_BACKLOG; number++) {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      queuedConnections.add(channel);
    }
  }

  private void acceptConnections(ServerSocket accepting) {
    try {
      while (true) {
        Socket client = accepting.accept();
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
      if (silencedSockets.contains(from)) {
        reset(to);
      }
      from.close();
      to.close();
    } catch (IOException e) {
      // Forwards a reset as a reset: a response without a length would look complete after a close.
      reset(to);
      reset(from);
    } finally {
      openSockets.remove(from);
      silencedSockets.remove(from);
    }
  }

  private void forwardBytes(Socket from, Socket to, Fault dropFault) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    InputStream in = from.getInputStream();
    for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
      if (fault == Fault.DELAY) {
        LockSupport.parkNanos(DELAY_NANOS);
      }
      if (fault == dropFault) {
        // A connection that lost bytes carries no later ones and does not end in order.
        silencedSockets.add(from);
      }
      if (!silencedSockets.contains(from)) {
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
    for (SocketChannel queued : queuedConnections) {
      queued.close();
    }
    openSockets.forEach(FaultyLink::reset);
  }
}
