package org.gradeledge.standin.fleet;

/** Threads that do not keep the process up. */
final class DaemonThread {

  private DaemonThread() {}

  /** Starts a task on a thread of its own and returns that. */
  static Thread start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
