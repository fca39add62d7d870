package org.gradeledge.mesh;

import java.util.List;

/**
 * Frees results of stage work.
 *
 * @param handles handles of the results
 */
record StageFree(List<String> handles) {}
