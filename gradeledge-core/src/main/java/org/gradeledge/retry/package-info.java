/** How much may be sent again. */
@NullMarked
package org.gradeledge.retry;

import org.jspecify.annotations.NullMarked;
