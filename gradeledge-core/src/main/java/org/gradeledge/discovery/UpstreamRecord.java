package org.gradeledge.discovery;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * An incarnation of an upstream as its list entry describes it: one lifetime of its process. A
 * restarted upstream may reuse the id; it has none of the state of the previous incarnation.
 *
 * @param id name in the list
 * @param born start time in milliseconds since the epoch; 0 if not reported, in which case no other
 *     incarnation has this id
 * @param service name of the service
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param slots number of requests that it processes concurrently
 * @param leaving whether it accepts no new requests
 * @param coldMillis remaining cold start time as last reported; not part of equality
 * @param softwareVersion version of the software that it runs; empty if not reported
 * @since 0.2
 */
public record UpstreamRecord(
    String id,
    long born,
    String service,
    String host,
    int port,
    String zone,
    int slots,
    boolean leaving,
    long coldMillis,
    Optional<String> softwareVersion) {

  /**
   * Creates a record of an upstream that reports neither its start time nor its software version
   * and is not cold.
   */
  public UpstreamRecord(
      String id, String service, String host, int port, String zone, int slots, boolean leaving) {
    this(id, 0, service, host, port, zone, slots, leaving, 0, Optional.empty());
  }

  /**
   * Returns the identifier of this incarnation, which a box and its peers use as the key of its
   * load, memory, connections and requests. It is the id alone if no start time is reported.
   */
  public String incarnationId() {
    return born == 0 ? id : id + "*" + Long.toString(born, Character.MAX_RADIX);
  }

  /** Returns a copy that is marked as leaving. */
  UpstreamRecord asLeaving() {
    return new UpstreamRecord(
        id, born, service, host, port, zone, slots, true, coldMillis, softwareVersion);
  }

  /** Returns the address as {@code host:port}. */
  public String address() {
    return host + ":" + port;
  }

  // Explicit, as the generated method is slow to initialize in a starting process.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof UpstreamRecord that
        && id.equals(that.id)
        && born == that.born
        && service.equals(that.service)
        && host.equals(that.host)
        && port == that.port
        && zone.equals(that.zone)
        && slots == that.slots
        && leaving == that.leaving
        && softwareVersion.equals(that.softwareVersion);
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
