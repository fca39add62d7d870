/** Two-phase commit of configuration changes: stage, prepare on every member, decide, install. */
@NullMarked
package org.gradeledge.change;

import org.jspecify.annotations.NullMarked;
