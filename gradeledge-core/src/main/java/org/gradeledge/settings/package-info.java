/** The settings of a box, read once at start and never changed while it runs. */
@NullMarked
package org.gradeledge.settings;

import org.jspecify.annotations.NullMarked;
