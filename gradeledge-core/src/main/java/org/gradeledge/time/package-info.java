/** Monotonic clocks, detection of suspensions, and deadlines. */
@NullMarked
package org.gradeledge.time;

import org.jspecify.annotations.NullMarked;
