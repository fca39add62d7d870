package org.gradeledge.connection;

/**
 * Which kept connections may carry a request. A kept connection may have been forgotten by the
 * upstream, and what is sent on it is then lost without a word on whether it ran.
 *
 * @since 0.2
 */
public enum ConnectionReuse {
  /** Any kept connection. */
  ANY(Long.MAX_VALUE),
  /** Only one that was in use a moment ago. */
  RECENT(300),
  /** None. */
  NONE(-1);

  private final long maxIdleMillis;

  ConnectionReuse(long mostIdleMillis) {
    this.maxIdleMillis = mostIdleMillis;
  }

  boolean allows(long idleMillis) {
    return idleMillis <= maxIdleMillis;
  }
}
