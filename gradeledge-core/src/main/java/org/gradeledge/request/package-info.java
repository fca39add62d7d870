/** Handling of caller requests: admission, stages, retries, deadlines and cancellation. */
@NullMarked
package org.gradeledge.request;

import org.jspecify.annotations.NullMarked;
