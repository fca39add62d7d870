package org.gradeledge.settings;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * All settings of one box.
 *
 * @param boxId name of the box, unique in the deployment
 * @param availabilityZone where the box stands
 * @param caller the port for callers
 * @param operator the port for operators
 * @param peer the port for other boxes
 * @param platform where the platform's services are
 * @param operators who may change configuration
 * @param timing bounds and periods
 * @param limits what the box takes in at most
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

  /** Checks that every part is there. */
  public BoxSettings {
    Objects.requireNonNull(boxId, "boxId must be given");
    Objects.requireNonNull(availabilityZone, "availabilityZone must be given");
    operators = List.copyOf(operators);
  }

  /** Returns the bounds and periods, defaults where none are set. */
  public TimingSettings timingOrDefault() {
    return timing.orElseGet(TimingSettings::defaults);
  }

  /** Returns the limits, defaults where none are set. */
  public LimitSettings limitsOrDefault() {
    return limits.orElseGet(LimitSettings::defaults);
  }
}
