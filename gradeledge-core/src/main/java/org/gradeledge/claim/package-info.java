/** At-most-once execution for each idempotency key, based on claim rows in the platform's table. */
@NullMarked
package org.gradeledge.claim;

import org.jspecify.annotations.NullMarked;
