/** A thread that does not keep the process alive. */
final class Daemon extends Thread {
  Daemon(Runnable action) {
    super(action);
    setDaemon(true);
  }
}
