/** Selection of the upstream of a request by load, health and prompt affinity. */
@NullMarked
package org.gradeledge.selection;

import org.jspecify.annotations.NullMarked;
