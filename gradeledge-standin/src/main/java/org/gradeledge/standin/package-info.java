/** Stand-ins for the systems around gradeledge and a load generator, for tests only. */
@NullMarked
package org.gradeledge.standin;

import org.jspecify.annotations.NullMarked;
