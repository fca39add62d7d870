/** Experiments over running processes, each printing one JSON line a figure. */
@NullMarked
package org.gradeledge.standin.measure;

import org.jspecify.annotations.NullMarked;
