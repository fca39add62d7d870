/** A whole entry box, put together from the other packages. */
@NullMarked
package org.gradeledge.node;

import org.jspecify.annotations.NullMarked;
