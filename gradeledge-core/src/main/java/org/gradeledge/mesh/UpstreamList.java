package org.gradeledge.mesh;

import java.util.List;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * List of upstreams of a box.
 *
 * @param revision revision of the list
 * @param upstreams the upstreams
 * @param doubted whether upstreams that are missing may have lapsed only because of an outage
 */
record UpstreamList(long revision, List<UpstreamRecord> upstreams, boolean doubted) {}
