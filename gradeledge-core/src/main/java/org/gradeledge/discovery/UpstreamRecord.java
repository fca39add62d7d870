package org.gradeledge.discovery;

import org.jspecify.annotations.Nullable;

/**
 * One life of an upstream as the list of upstreams tells it.
 *
 * @param id unique for each start of an upstream
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
    String service,
    String host,
    int port,
    String zone,
    int slots,
    boolean leaving,
    long coldMillis) {

  /** Creates one that is not cold. */
  public UpstreamRecord(
      String id, String service, String host, int port, String zone, int slots, boolean leaving) {
    this(id, service, host, port, zone, slots, leaving, 0);
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
