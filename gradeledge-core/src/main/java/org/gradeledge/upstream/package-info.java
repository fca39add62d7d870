/** Calls to model engines and plain services through a common protocol interface. */
@NullMarked
package org.gradeledge.upstream;

import org.jspecify.annotations.NullMarked;
