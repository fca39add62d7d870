/** Stand-in of the platform: table, object store, box list, with fault switches. */
@NullMarked
package org.gradeledge.standin.platform;

import org.jspecify.annotations.NullMarked;
