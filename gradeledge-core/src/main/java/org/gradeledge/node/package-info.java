/** Boxes assembled from the components of the other packages. */
@NullMarked
package org.gradeledge.node;

import org.jspecify.annotations.NullMarked;
