package org.gradeledge.mesh;

import java.util.List;

/**
 * Heartbeats of several boxes that a relay forwards in one message.
 *
 * @param entries one entry for each box
 */
record Digest(List<DigestEntry> entries) {}
