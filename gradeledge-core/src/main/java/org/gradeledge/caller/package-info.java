/** The HTTP interface that callers use. */
@NullMarked
package org.gradeledge.caller;

import org.jspecify.annotations.NullMarked;
