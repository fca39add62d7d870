package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Finds ports that are currently free on the local host. Thread-safe. */
final class FreePorts {

  private static final int MIN_PORT = 15_000;
  private static final int MAX_PORT = 32_000;
  private static final int MAX_ATTEMPTS = 1_000;
  private static final Set<Integer> RESERVED = new HashSet<>();

  private FreePorts() {}

  /**
   * Returns free ports below the ephemeral range, so that outgoing connections do not take them.
   */
  static synchronized List<Integer> findBelowEphemeralRange(int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    for (int attempts = 0; ports.size() < count && attempts < MAX_ATTEMPTS; attempts++) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      if (!RESERVED.contains(port) && isFree(port)) {
        RESERVED.add(port);
        ports.add(port);
      }
    }
    return Optional.of(ports)
        .filter(found -> found.size() == count)
        .orElseThrow(() -> new IOException("could not find enough free ports"));
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port)) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
