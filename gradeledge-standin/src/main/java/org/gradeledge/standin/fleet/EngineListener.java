package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** The listener of an engine and its open connections, each with a thread. Thread-safe. */
final class EngineListener implements AutoCloseable {

  private static final int BACKLOG = 64;

  private final Consumer<Socket> handler;
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private volatile ServerSocket listener;

  /**
   * Creates a listener that is not open yet.
   *
   * @param handler serves a connection until it ends
   */
  EngineListener(Consumer<Socket> handler) {
    this.handler = handler;
  }

  /** Listens on a free port. */
  void open() {
    try {
      ServerSocket serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
      listener = serverSocket;
      DaemonThread.start("engine", () -> accept(serverSocket));
    } catch (IOException e) {
      throw new UncheckedIOException("could not open a listener", e);
    }
  }

  private void accept(ServerSocket serverSocket) {
    try {
      while (true) {
        Socket socket = serverSocket.accept();
        connections.add(socket);
        DaemonThread.start("engine", () -> serve(socket));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serve(Socket socket) {
    try {
      handler.accept(socket);
    } finally {
      connections.remove(socket);
    }
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  List<Socket> connections() {
    return connections;
  }

  void resetAll() throws IOException {
    for (Socket socket : connections) {
      EngineConnection.reset(socket);
    }
  }

  /** Closes the listener and resets all connections, as the crash of a process does. */
  void crash() throws IOException {
    listener.close();
    resetAll();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
