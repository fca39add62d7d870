/** The audit trail of changes: one row for each verdict, written with it. */
@NullMarked
package org.gradeledge.audit;

import org.jspecify.annotations.NullMarked;
