/** Command line of gradeledge: runs a box and calls the operator API of running boxes. */
@NullMarked
package org.gradeledge.box;

import org.jspecify.annotations.NullMarked;
