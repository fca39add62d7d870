package org.gradeledge.operator;

/** A pipeline and its version in force on this box. */
record PipelineStatus(String pipeline, long version, String digest, String submissionId) {}
