/** Following a table of rows with revisions through outages, lost answers and lost history. */
@NullMarked
package org.gradeledge.follow;

import org.jspecify.annotations.NullMarked;
