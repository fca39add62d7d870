/** At most one run for each idempotency key, by claim rows in the platform's table. */
@NullMarked
package org.gradeledge.claim;

import org.jspecify.annotations.NullMarked;
