package org.gradeledge.connection;

/**
 * Identifies one call on one connection.
 *
 * @param connection number of the connection in this process, from 1
 * @param call number of the call on the connection, from 1
 * @since 0.6
 */
public record ConnectionUse(long connection, int call) {

  /** Returns the form that is used in logs. */
  public String label() {
    return connection + "." + call;
  }
}
