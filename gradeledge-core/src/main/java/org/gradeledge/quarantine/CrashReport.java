package org.gradeledge.quarantine;

/**
 * A crash of an upstream while it served a request, as reported between boxes.
 *
 * @param incarnationId incarnation of the upstream that crashed
 * @param ageMillis time since the crash
 * @param withdrawn whether the crash no longer counts, as the request was completed since
 * @since 0.3
 */
public record CrashReport(String incarnationId, long ageMillis, boolean withdrawn) {}
