/** The member set: joining, leaving, removal and confirmation of boxes. */
@NullMarked
package org.gradeledge.membership;

import org.jspecify.annotations.NullMarked;
