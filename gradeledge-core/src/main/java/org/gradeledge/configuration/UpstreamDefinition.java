package org.gradeledge.configuration;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * One upstream that stages may name.
 *
 * @param id unique in the pipeline
 * @param host IP number
 * @param port TCP port
 * @param availabilityZone where it stands
 * @param roles stage kinds that it may serve
 * @param models models that it may hold; empty for a plain service
 * @param slots calls that it works on at a time
 * @param checksOrders whether it refuses orders with an old fencing token
 * @param tellsWhetherItRan whether its refusals say if the call ran
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

  /** Checks that every required part is there. */
  public UpstreamDefinition {
    Objects.requireNonNull(id, "id must be given");
    Objects.requireNonNull(host, "host must be given");
    roles = List.copyOf(roles);
    models = List.copyOf(models);
  }

  /** Returns where to connect; the host is an IP number, so nothing is looked up. */
  public InetSocketAddress address() {
    return new InetSocketAddress(host, port);
  }
}
