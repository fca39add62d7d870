/** Batching of stage work: one box per service combines the pieces of many requests into calls. */
@NullMarked
package org.gradeledge.batch;

import org.jspecify.annotations.NullMarked;
