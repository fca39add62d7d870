/** Discovery of upstreams, their restarts, and their leaving. */
@NullMarked
package org.gradeledge.discovery;

import org.jspecify.annotations.NullMarked;
