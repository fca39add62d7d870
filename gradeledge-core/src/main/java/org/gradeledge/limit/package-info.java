/**
 * What upstreams say of the requests that they take: how many from all boxes together, and for how
 * long none from this box. What was said and by whom, which part of it is this box's, and whether
 * one more request may be sent now. Knows neither network nor event loop.
 */
@NullMarked
package org.gradeledge.limit;

import org.jspecify.annotations.NullMarked;
