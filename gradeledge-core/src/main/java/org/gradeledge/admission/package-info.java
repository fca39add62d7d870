/** Whether and when a stage call may start: limits, queues and refusals. */
@NullMarked
package org.gradeledge.admission;

import org.jspecify.annotations.NullMarked;
