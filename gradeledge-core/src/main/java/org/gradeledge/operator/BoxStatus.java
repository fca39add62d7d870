package org.gradeledge.operator;

import java.util.Map;
import java.util.Optional;

/**
 * What this box knows of a member.
 *
 * @param boxId name of the box
 * @param incarnation incarnation under which it is a member
 * @param availabilityZone where it stands
 * @param reached whether this box hears of it, or is it
 * @param serving whether it serves, as far as it said
 * @param removing whether it is being removed
 * @param versions versions in force there, as far as it said
 */
record BoxStatus(
    String boxId,
    long incarnation,
    String availabilityZone,
    boolean reached,
    Optional<Boolean> serving,
    boolean removing,
    Map<String, Long> versions) {}
