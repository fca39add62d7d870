package org.gradeledge.operator;

/** The version of a pipeline that is in force on this box. */
record PipelineStatus(String pipeline, long version, String digest, String submissionId) {}
