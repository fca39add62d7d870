/** Metrics of a box: counters, gauges and histograms in the Prometheus format. */
@NullMarked
package org.gradeledge.metrics;

import org.jspecify.annotations.NullMarked;
