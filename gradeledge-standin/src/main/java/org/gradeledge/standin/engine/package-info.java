/** Stand-in of model engines and plain services, with fault switches. */
@NullMarked
package org.gradeledge.standin.engine;

import org.jspecify.annotations.NullMarked;
