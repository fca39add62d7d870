/**
 * Pooled connections to upstreams. A response is accepted only for its own call, and the signals in
 * each response head are reported once, whatever the call.
 */
@NullMarked
package org.gradeledge.connection;

import org.jspecify.annotations.NullMarked;
