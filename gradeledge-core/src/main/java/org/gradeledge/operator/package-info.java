/** The HTTP interface for operators. */
@NullMarked
package org.gradeledge.operator;

import org.jspecify.annotations.NullMarked;
