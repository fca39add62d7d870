/** Admission control of requests and stage calls: limits, fair queues and refusals. */
@NullMarked
package org.gradeledge.admission;

import org.jspecify.annotations.NullMarked;
