package org.gradeledge.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * One frame on the wire.
 *
 * @param type name of the message type
 * @param correlation number that an answer repeats; 0 where none is awaited
 * @param answer whether this is an answer
 * @param body the message in MessagePack
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record PeerFrame(String type, long correlation, boolean answer, byte[] body) {}
