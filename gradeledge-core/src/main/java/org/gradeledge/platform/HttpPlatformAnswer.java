package org.gradeledge.platform;

/** Status and body of the platform's answer. */
record HttpPlatformAnswer(int status, byte[] body) {}
