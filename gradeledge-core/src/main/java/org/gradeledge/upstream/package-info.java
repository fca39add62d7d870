/** Calls to model engines and plain services, behind one interface for their protocols. */
@NullMarked
package org.gradeledge.upstream;

import org.jspecify.annotations.NullMarked;
