package org.gradeledge.standin.fleet;

/** Starts daemon threads. */
final class DaemonThread {

  private DaemonThread() {}

  /** Runs a task on a new daemon thread and returns the thread. */
  static Thread start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
