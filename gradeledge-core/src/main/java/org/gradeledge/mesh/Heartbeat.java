package org.gradeledge.mesh;

import java.util.List;
import java.util.Map;
import org.gradeledge.selection.LoadShare;

/**
 * What a box tells all others again and again.
 *
 * @param leaving whether it is stopping
 * @param configuration revision of the configuration that it has in force
 * @param upstreams revision at which its list of upstreams last said something new
 * @param boxes addresses of the boxes that it hears
 * @param shares what it has under way, by upstream
 * @param backlogMillis how long the stage work that waits at it keeps each service busy, for each
 *     priority what is as urgent or more
 * @param piecesToCome pieces that its requests will want made, by service and priority
 */
record Heartbeat(
    boolean leaving,
    long configuration,
    long upstreams,
    List<String> boxes,
    Map<String, LoadShare> shares,
    Map<String, List<Long>> backlogMillis,
    Map<String, List<Long>> piecesToCome) {}
