/** Which upstreams there are, which are leaving, and how that is learned. */
@NullMarked
package org.gradeledge.discovery;

import org.jspecify.annotations.NullMarked;
