/** Connections between boxes: framing, authentication, messages and requests. */
@NullMarked
package org.gradeledge.peer;

import org.jspecify.annotations.NullMarked;
