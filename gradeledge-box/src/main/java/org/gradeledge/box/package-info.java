/** The daemon and the command line: thin over the library. */
@NullMarked
package org.gradeledge.box;

import org.jspecify.annotations.NullMarked;
