/** Following the changes of revisioned tables, with recovery from outages and lost history. */
@NullMarked
package org.gradeledge.follow;

import org.jspecify.annotations.NullMarked;
