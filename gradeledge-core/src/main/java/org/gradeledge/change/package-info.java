/** Accepting a change of configuration: stage, prepare on every member, verdict, install. */
@NullMarked
package org.gradeledge.change;

import org.jspecify.annotations.NullMarked;
