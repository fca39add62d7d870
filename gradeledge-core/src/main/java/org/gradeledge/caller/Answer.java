package org.gradeledge.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** The whole answer as a caller gets it. */
record Answer(String requestId, long version, String verdict, ObjectNode results) {}
