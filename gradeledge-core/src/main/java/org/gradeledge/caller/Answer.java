package org.gradeledge.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** The JSON form of a complete answer. */
record Answer(String requestId, long version, String verdict, ObjectNode results) {}
