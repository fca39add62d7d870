/** The audit trail of configuration changes: one row for each verdict. */
@NullMarked
package org.gradeledge.audit;

import org.jspecify.annotations.NullMarked;
