/** What boxes tell each other: who is there, what is in force, load, and stage work to be done. */
@NullMarked
package org.gradeledge.mesh;

import org.jspecify.annotations.NullMarked;
