/** Outcomes of requests: verdicts, reasons of refusals, and the exceptions that carry them. */
@NullMarked
package org.gradeledge.verdict;

import org.jspecify.annotations.NullMarked;
