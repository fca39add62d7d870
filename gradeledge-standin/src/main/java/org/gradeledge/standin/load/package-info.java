/** Open-loop load generator and its report. */
@NullMarked
package org.gradeledge.standin.load;

import org.jspecify.annotations.NullMarked;
