/**
 * Rewrites the lambdas and the methods of records in a jar into ordinary classes and methods.
 *
 * <p>The JVM links each lambda when it is first reached, by code that is itself not compiled yet in
 * a young process. Classes come from the class archive at a fraction of that. It buys a tenth of
 * the processor time of a box's start and first forty requests, measured in pairs with {@code
 * scripts/box-cost.sh}; the sources keep their lambdas.
 */
@NullMarked
package org.gradeledge.packaging;

import org.jspecify.annotations.NullMarked;
