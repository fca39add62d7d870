/**
 * Rates of requests that upstreams say they take from all boxes together: what was said and by
 * whom, which part of it is this box's, and whether one more request may be sent now. Knows neither
 * network nor event loop.
 */
@NullMarked
package org.gradeledge.limit;

import org.jspecify.annotations.NullMarked;
