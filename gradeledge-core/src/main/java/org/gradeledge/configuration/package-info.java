/** Pipeline files: their shape, their checks and the versions a box has in force. */
@NullMarked
package org.gradeledge.configuration;

import org.jspecify.annotations.NullMarked;
