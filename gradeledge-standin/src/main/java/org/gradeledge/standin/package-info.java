/** Test stand-ins of what gradeledge meets, and its load tool; never shipped with it. */
@NullMarked
package org.gradeledge.standin;

import org.jspecify.annotations.NullMarked;
