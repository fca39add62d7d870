import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Passes connections on. When told to, the open ones carry nothing any more, without a reset and
 * for good, while new ones work.
 */
final class SilencingProxy {
  private static final class Link {
    private final Socket near;
    private final Socket far;
    private volatile boolean silent;

    Link(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }
  }

  private final ServerSocket listener;
  private final int target;
  private final List<Link> links = new CopyOnWriteArrayList<>();

  SilencingProxy(String target) throws IOException {
    this.target = Integer.parseInt(target.substring(target.lastIndexOf(':') + 1));
    this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Makes all open connections silent; returns how many there were. */
  int silence() {
    links.forEach(link -> link.silent = true);
    return links.size();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(null, task, "proxy", 128 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket near = listener.accept();
        Socket far = new Socket("127.0.0.1", target);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Link link = new Link(near, far);
        links.add(link);
        start(() -> pass(link, near, far));
        start(() -> pass(link, far, near));
      }
    } catch (IOException e) {
      // the proxy has ended
    }
  }

  private void pass(Link link, Socket from, Socket to) {
    byte[] buffer = new byte[16 * 1024];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        if (!link.silent) {
          out.write(buffer, 0, read);
        }
      }
    } catch (IOException e) {
      // one of the ends is gone
    }
    if (!link.silent) {
      links.remove(link);
      close(link.near);
      close(link.far);
    } else if (from == link.near) {
      links.remove(link);
      close(link.near);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // nothing is left to do
    }
  }
}
