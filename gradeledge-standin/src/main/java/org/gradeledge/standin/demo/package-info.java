/** Files for the demonstration. */
@NullMarked
package org.gradeledge.standin.demo;

import org.jspecify.annotations.NullMarked;
