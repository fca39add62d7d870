/** Structured event log that writes one line of JSON per event without blocking. */
@NullMarked
package org.gradeledge.event;

import org.jspecify.annotations.NullMarked;
