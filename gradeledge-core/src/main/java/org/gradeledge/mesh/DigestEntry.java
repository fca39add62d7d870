package org.gradeledge.mesh;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Heartbeat of a box as forwarded by another box.
 *
 * @param box address of the box that sent the heartbeat
 * @param ageMillis time since the heartbeat was received
 * @param heartbeat the heartbeat
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record DigestEntry(String box, long ageMillis, Heartbeat heartbeat) {}
