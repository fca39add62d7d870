/** Stand-ins for model engines and services, with fault injection. */
@NullMarked
package org.gradeledge.standin.engine;

import org.jspecify.annotations.NullMarked;
