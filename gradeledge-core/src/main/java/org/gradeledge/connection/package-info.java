/**
 * Connections to upstreams: kept ones are used again, and an answer is taken only for its own call.
 * What the head of each answer says of its upstream is told once, whatever the call was for.
 */
@NullMarked
package org.gradeledge.connection;

import org.jspecify.annotations.NullMarked;
