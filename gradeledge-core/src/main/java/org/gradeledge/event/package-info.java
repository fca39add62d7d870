/** Structured log events: one line of JSON for each decision, bounded and never blocking. */
@NullMarked
package org.gradeledge.event;

import org.jspecify.annotations.NullMarked;
