/** Keeping a box up to date: reads of the platform and heartbeats between boxes. */
@NullMarked
package org.gradeledge.synchronization;

import org.jspecify.annotations.NullMarked;
