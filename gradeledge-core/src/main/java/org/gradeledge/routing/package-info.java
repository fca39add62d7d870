/** Selection of an upstream for a stage call. */
@NullMarked
package org.gradeledge.routing;

import org.jspecify.annotations.NullMarked;
