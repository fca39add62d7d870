/** Settings of a box, read once at startup. */
@NullMarked
package org.gradeledge.settings;

import org.jspecify.annotations.NullMarked;
