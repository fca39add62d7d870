package org.gradeledge.discovery;

import org.jspecify.annotations.Nullable;

/**
 * One start of an upstream as the list of upstreams tells it. An upstream that starts again may do
 * so under the same id; it then holds and knows nothing of before.
 *
 * @param id name that it is listed under
 * @param startedAtMillis when it started, in milliseconds since 1970; 0 if that is not told, and
 *     then no other start has its id
 * @param service name of its service
 * @param host IP number
 * @param port TCP port
 * @param zone availability zone
 * @param slots requests that it works on at once
 * @param leaving whether it takes no new work
 * @param coldMillis how much longer it is cold, as it last told; no part of what makes two equal
 * @since 0.2
 */
public record UpstreamRecord(
    String id,
    long startedAtMillis,
    String service,
    String host,
    int port,
    String zone,
    int slots,
    boolean leaving,
    long coldMillis) {

  /** Creates one that does not tell when it started and is not cold. */
  public UpstreamRecord(
      String id, String service, String host, int port, String zone, int slots, boolean leaving) {
    this(id, 0, service, host, port, zone, slots, leaving, 0);
  }

  /**
   * Returns what names this start, and none before or after it, in all that a box or its peers know
   * of it: load, room, connections, what it was sent. The id alone where no birth is told.
   */
  public String incarnationId() {
    return startedAtMillis == 0
        ? id
        : id + "*" + Long.toString(startedAtMillis, Character.MAX_RADIX);
  }

  /** Returns the same start, taking no new work. */
  UpstreamRecord asLeaving() {
    return new UpstreamRecord(
        id, startedAtMillis, service, host, port, zone, slots, true, coldMillis);
  }

  /** Returns host and port. */
  public String address() {
    return host + ":" + port;
  }

  /** Written out, as the one that a record makes costs each young process some 30 milliseconds. */
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof UpstreamRecord that
        && id.equals(that.id)
        && startedAtMillis == that.startedAtMillis
        && service.equals(that.service)
        && host.equals(that.host)
        && port == that.port
        && zone.equals(that.zone)
        && slots == that.slots
        && leaving == that.leaving;
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
