package org.gradeledge.mesh;

import java.util.List;

/**
 * Gives up results of stage work.
 *
 * @param handles where they lie
 */
record StageFree(List<String> handles) {}
