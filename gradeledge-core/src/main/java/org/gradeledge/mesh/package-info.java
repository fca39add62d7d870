/** Exchange of heartbeats, configuration, upstream state and stage work between boxes. */
@NullMarked
package org.gradeledge.mesh;

import org.jspecify.annotations.NullMarked;
