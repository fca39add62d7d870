import java.util.ArrayList;
import java.util.List;

/**
 * The platform's address of one zone: asks each node every second whether it is ready, takes out
 * one that misses twice until it answers 200 again, and passes connections on by a hash of the
 * client. If under half of the nodes are in, it uses all of them.
 */
final class Ingress {
  private static final long INTERVAL_MS = 1_000;
  private static final int MISSES = 2;

  private final List<Box> nodes;
  private final int[] missed;

  Ingress(List<Box> nodes) {
    this.nodes = nodes;
    this.missed = new int[nodes.size()];
    Thread thread = new Thread(this::ask, "ingress");
    thread.setDaemon(true);
    thread.start();
  }

  private void ask() {
    try {
      while (true) {
        for (int node = 0; node < nodes.size(); node++) {
          boolean ready = nodes.get(node).isReady();
          synchronized (this) {
            missed[node] = ready ? 0 : missed[node] + 1;
          }
        }
        Thread.sleep(INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the number of the node that a client's new connection is passed to. */
  synchronized int nodeFor(int client) {
    List<Integer> in = new ArrayList<>();
    for (int node = 0; node < missed.length; node++) {
      if (missed[node] < MISSES) {
        in.add(node);
      }
    }
    int hash = Integer.hashCode(client * 0x9E3779B1) >>> 4;
    return in.size() * 2 < missed.length ? hash % missed.length : in.get(hash % in.size());
  }
}
