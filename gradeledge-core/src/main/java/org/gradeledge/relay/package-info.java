/** Forwards requests to upstreams and the answers back to the callers. */
@NullMarked
package org.gradeledge.relay;

import org.jspecify.annotations.NullMarked;
