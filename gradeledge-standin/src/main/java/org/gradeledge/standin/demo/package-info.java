/** Commands that generate the files of the demo. */
@NullMarked
package org.gradeledge.standin.demo;

import org.jspecify.annotations.NullMarked;
