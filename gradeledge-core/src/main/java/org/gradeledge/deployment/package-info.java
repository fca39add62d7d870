/** Configuration of relayed routes and the registry of the newest one. */
@NullMarked
package org.gradeledge.deployment;

import org.jspecify.annotations.NullMarked;
