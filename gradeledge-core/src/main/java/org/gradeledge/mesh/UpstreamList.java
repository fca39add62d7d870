package org.gradeledge.mesh;

import java.util.List;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * The upstreams that a box knows.
 *
 * @param revision revision that its list stands at
 * @param upstreams the list
 * @param doubted whether it lacks entries that may only have lapsed
 */
record UpstreamList(long revision, List<UpstreamRecord> upstreams, boolean doubted) {}
