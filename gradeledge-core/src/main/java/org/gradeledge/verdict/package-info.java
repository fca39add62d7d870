/** What became of a request: the verdict, the reason and the exceptions that carry them. */
@NullMarked
package org.gradeledge.verdict;

import org.jspecify.annotations.NullMarked;
