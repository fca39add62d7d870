package org.gradeledge.configuration;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * An upstream that stages may refer to.
 *
 * @param id id, unique in the pipeline
 * @param host IP address
 * @param port TCP port
 * @param availabilityZone its availability zone
 * @param roles stage kinds that it serves
 * @param models models that it serves; empty for a plain service
 * @param slots number of calls that it processes concurrently
 * @param checksOrders whether it rejects calls with an outdated fencing token
 * @param tellsWhetherItRan whether its refusals report if the call ran
 * @since 0.1
 */
public record UpstreamDefinition(
    String id,
    String host,
    int port,
    String availabilityZone,
    List<StageKind> roles,
    List<String> models,
    int slots,
    boolean checksOrders,
    boolean tellsWhetherItRan) {

  /** Validates required components. */
  public UpstreamDefinition {
    Objects.requireNonNull(id, "id must be given");
    Objects.requireNonNull(host, "host must be given");
    roles = List.copyOf(roles);
    models = List.copyOf(models);
  }

  /** Returns the socket address; the host is an IP address, so no name is resolved. */
  public InetSocketAddress address() {
    return new InetSocketAddress(host, port);
  }
}
