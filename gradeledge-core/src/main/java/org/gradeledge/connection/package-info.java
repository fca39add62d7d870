/**
 * Connections to upstreams: kept ones are used again, and an answer is taken only for its own call.
 */
@NullMarked
package org.gradeledge.connection;

import org.jspecify.annotations.NullMarked;
