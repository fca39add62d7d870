/** One request from admission to answer: stages, attempts, deadlines and cancellation. */
@NullMarked
package org.gradeledge.request;

import org.jspecify.annotations.NullMarked;
