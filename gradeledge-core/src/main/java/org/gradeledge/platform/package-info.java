/** The platform's table service, object store and box list, and their HTTP clients. */
@NullMarked
package org.gradeledge.platform;

import org.jspecify.annotations.NullMarked;
