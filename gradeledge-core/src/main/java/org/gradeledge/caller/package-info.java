/** The HTTP interface for callers. */
@NullMarked
package org.gradeledge.caller;

import org.jspecify.annotations.NullMarked;
