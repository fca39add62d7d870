/** The retry budget of a box. */
@NullMarked
package org.gradeledge.retry;

import org.jspecify.annotations.NullMarked;
