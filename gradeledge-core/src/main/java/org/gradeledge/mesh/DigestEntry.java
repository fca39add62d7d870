package org.gradeledge.mesh;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What a box told of itself, as another box passes it on.
 *
 * @param box address of the box
 * @param ageMillis how long ago it was heard
 * @param heartbeat what it told
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record DigestEntry(String box, long ageMillis, Heartbeat heartbeat) {}
