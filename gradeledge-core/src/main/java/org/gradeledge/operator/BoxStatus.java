package org.gradeledge.operator;

import java.util.Map;
import java.util.Optional;

/**
 * The status of a member as observed by this box.
 *
 * @param boxId name of the box
 * @param incarnation incarnation of the member
 * @param availabilityZone availability zone of the box
 * @param reached whether it is this box or this box receives its heartbeats
 * @param serving whether it serves requests, empty if not reported
 * @param removing whether it is marked for removal
 * @param versions reported pipeline versions in force on the box
 */
record BoxStatus(
    String boxId,
    long incarnation,
    String availabilityZone,
    boolean reached,
    Optional<Boolean> serving,
    boolean removing,
    Map<String, Long> versions) {}
