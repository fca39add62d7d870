package org.gradeledge.platform;

/** Status and body of an answer of the platform. */
record HttpPlatformAnswer(int status, byte[] body) {}
