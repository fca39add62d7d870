/**
 * Rate limits and backoff requests that upstreams announce in their answers, and the limiters that
 * enforce them on this box. Independent of network and event loop.
 */
@NullMarked
package org.gradeledge.limit;

import org.jspecify.annotations.NullMarked;
