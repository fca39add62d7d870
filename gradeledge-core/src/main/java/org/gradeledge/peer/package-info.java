/** Connections between boxes: framing, greeting, one task a peer; knows nothing of pipelines. */
@NullMarked
package org.gradeledge.peer;

import org.jspecify.annotations.NullMarked;
