/**
 * Asks upstreams how far their runs are, to tell a run that pauses from one whose connection was
 * lost.
 */
@NullMarked
package org.gradeledge.inspection;

import org.jspecify.annotations.NullMarked;
