/** Time as the library sees it: a monotonic clock and deadlines on it. */
@NullMarked
package org.gradeledge.time;

import org.jspecify.annotations.NullMarked;
