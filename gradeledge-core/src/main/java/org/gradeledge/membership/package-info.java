/** Which boxes are members, how a box joins and leaves, and how it is confirmed. */
@NullMarked
package org.gradeledge.membership;

import org.jspecify.annotations.NullMarked;
