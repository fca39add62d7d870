package org.gradeledge.mesh;

import java.util.List;

/**
 * What a relay passes on of several boxes in one message.
 *
 * @param entries one for each box
 */
record Digest(List<DigestEntry> entries) {}
