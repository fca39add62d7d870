/** Requests that are passed on to an upstream unchanged, and their answers on the way back. */
@NullMarked
package org.gradeledge.relay;

import org.jspecify.annotations.NullMarked;
