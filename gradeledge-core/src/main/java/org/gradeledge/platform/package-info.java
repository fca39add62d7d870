/** Interfaces and HTTP clients of the platform's table service, object store and box list. */
@NullMarked
package org.gradeledge.platform;

import org.jspecify.annotations.NullMarked;
