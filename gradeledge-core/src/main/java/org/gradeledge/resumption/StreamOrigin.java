package org.gradeledge.resumption;

import java.util.Objects;
import java.util.Optional;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * The service and the software version that began a stream. Only upstreams of both can continue it,
 * and upstreams do not check this themselves.
 *
 * @param service name of the service
 * @param softwareVersion version of the software of the upstream
 * @since 0.3
 */
public record StreamOrigin(String service, String softwareVersion) {

  /** Requires both names. */
  public StreamOrigin {
    Objects.requireNonNull(service, "service must not be null");
    Objects.requireNonNull(softwareVersion, "software version must not be null");
  }

  /**
   * Returns the origin of the streams that an upstream begins; empty if its software version is
   * unknown, so that no upstream can continue them.
   */
  public static Optional<StreamOrigin> of(UpstreamRecord upstream) {
    return upstream.softwareVersion().map(version -> new StreamOrigin(upstream.service(), version));
  }

  /** Returns a hash that is the same in all boxes and differs between origins. */
  public long hash() {
    return StableHash.of(service + '\n' + softwareVersion);
  }

  /** Returns whether an upstream can continue streams of this origin. */
  public boolean matches(UpstreamRecord upstream) {
    return upstream.service().equals(service)
        && upstream.softwareVersion().filter(softwareVersion::equals).isPresent();
  }
}
