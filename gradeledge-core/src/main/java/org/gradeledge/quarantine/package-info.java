/**
 * Quarantine of requests that crash upstreams: request fingerprints, crash records, and verdicts.
 * Independent of network and event loop.
 */
@NullMarked
package org.gradeledge.quarantine;

import org.jspecify.annotations.NullMarked;
