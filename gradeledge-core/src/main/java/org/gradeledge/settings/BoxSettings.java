package org.gradeledge.settings;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of a box.
 *
 * @param boxId id of the box, unique in the deployment
 * @param availabilityZone availability zone of the box
 * @param caller port for callers
 * @param operator port for operators
 * @param peer port for other boxes
 * @param platform addresses of the platform's services
 * @param operators operators who may change the configuration
 * @param timing timeouts and periods
 * @param limits limits on callers and upstream answers
 * @param routing name of the routing policy, see {@code RoutingPolicy}
 * @param admission name of the admission policy, see {@code AdmissionPolicy}
 * @since 0.1
 */
public record BoxSettings(
    String boxId,
    String availabilityZone,
    ListenSettings caller,
    ListenSettings operator,
    PeerSettings peer,
    PlatformSettings platform,
    List<OperatorSettings> operators,
    Optional<TimingSettings> timing,
    Optional<LimitSettings> limits,
    Optional<String> routing,
    Optional<String> admission) {

  /** Validates required components. */
  public BoxSettings {
    Objects.requireNonNull(boxId, "boxId must be given");
    Objects.requireNonNull(availabilityZone, "availabilityZone must be given");
    operators = List.copyOf(operators);
  }

  /** Returns the timeouts and periods, or the defaults if not set. */
  public TimingSettings timingOrDefault() {
    return timing.orElseGet(TimingSettings::defaults);
  }

  /** Returns the limits, or the defaults if not set. */
  public LimitSettings limitsOrDefault() {
    return limits.orElseGet(LimitSettings::defaults);
  }
}
