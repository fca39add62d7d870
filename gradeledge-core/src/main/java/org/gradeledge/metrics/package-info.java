/** The registry of counters, gauges and histograms that a box exposes. */
@NullMarked
package org.gradeledge.metrics;

import org.jspecify.annotations.NullMarked;
