package org.gradeledge.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Envelope of a message on a connection between boxes.
 *
 * @param type name of the message type
 * @param correlation id of the request, repeated in its answer; 0 if no answer is expected
 * @param answer whether the frame is an answer
 * @param body the message in MessagePack
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record PeerFrame(String type, long correlation, boolean answer, byte[] body) {}
