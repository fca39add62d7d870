/** Which upstream a request goes to, by load, health and kept prompt parts. */
@NullMarked
package org.gradeledge.selection;

import org.jspecify.annotations.NullMarked;
