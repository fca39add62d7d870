/** Performance measurements of running processes; each result is printed as a JSON line. */
@NullMarked
package org.gradeledge.standin.measure;

import org.jspecify.annotations.NullMarked;
