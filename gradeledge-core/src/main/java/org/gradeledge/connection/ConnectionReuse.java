package org.gradeledge.connection;

/**
 * Selects the pooled connections that may carry a request. An idle connection may have been dropped
 * by the upstream without notice; it is then unknown whether a request sent on it has run.
 *
 * @since 0.2
 */
public enum ConnectionReuse {
  /** Any idle connection. */
  ANY(Long.MAX_VALUE),
  /** Only a connection that has been idle for a short time. */
  RECENT(300),
  /** Only a new connection. */
  NONE(-1);

  private final long maxIdleMillis;

  ConnectionReuse(long mostIdleMillis) {
    this.maxIdleMillis = mostIdleMillis;
  }

  boolean allows(long idleMillis) {
    return idleMillis <= maxIdleMillis;
  }
}
