package org.gradeledge.discovery;

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
 * @since 0.2
 */
public record UpstreamRecord(
    String id, String service, String host, int port, String zone, int slots, boolean leaving) {

  /** Returns host and port. */
  public String address() {
    return host + ":" + port;
  }
}
