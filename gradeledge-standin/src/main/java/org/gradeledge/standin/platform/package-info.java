/** Stand-in for the platform services, with fault injection. */
@NullMarked
package org.gradeledge.standin.platform;

import org.jspecify.annotations.NullMarked;
