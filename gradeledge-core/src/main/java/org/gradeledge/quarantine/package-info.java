/**
 * Requests that end the upstreams that run them: what makes two requests the same, what ended under
 * each, the verdict, and how long it holds. Knows neither network nor event loop.
 */
@NullMarked
package org.gradeledge.quarantine;

import org.jspecify.annotations.NullMarked;
