package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Ports of the loopback interface that were free a moment ago. Thread-safe. */
final class FreePorts {

  private static final int MIN_PORT = 15_000;
  private static final int MAX_PORT = 32_000;
  private static final int MAX_ATTEMPTS = 1_000;
  private static final Set<Integer> RESERVED = new HashSet<>();

  private FreePorts() {}

  static List<Integer> find(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0);
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  /**
   * Returns ports below those that the system gives to outgoing connections, of which many boxes
   * that start at once make so many that one takes a port before it is listened on.
   */
  static synchronized List<Integer> findBelowEphemeralRange(int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    for (int tries = 0; ports.size() < count && tries < MAX_ATTEMPTS; tries++) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      if (!RESERVED.contains(port) && isFree(port)) {
        RESERVED.add(port);
        ports.add(port);
      }
    }
    return Optional.of(ports)
        .filter(found -> found.size() == count)
        .orElseThrow(() -> new IOException("no ports are free"));
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port)) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
