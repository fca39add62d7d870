/** The HTTP interface that operators use. */
@NullMarked
package org.gradeledge.operator;

import org.jspecify.annotations.NullMarked;
