/** What a whole configuration of relayed routes says, and the newest one that a box holds. */
@NullMarked
package org.gradeledge.deployment;

import org.jspecify.annotations.NullMarked;
