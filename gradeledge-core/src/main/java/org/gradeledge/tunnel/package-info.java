/**
 * Connections to upstreams through other boxes, for boxes that a network partition separates from
 * upstreams which others reach.
 */
@NullMarked
package org.gradeledge.tunnel;

import org.jspecify.annotations.NullMarked;
