/** Synchronization of a box with the platform and with its peers. */
@NullMarked
package org.gradeledge.synchronization;

import org.jspecify.annotations.NullMarked;
