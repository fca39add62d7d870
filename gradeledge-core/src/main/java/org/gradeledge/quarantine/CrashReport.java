package org.gradeledge.quarantine;

/**
 * An upstream that ended under a request, as boxes tell each other.
 *
 * @param incarnationId which start of which upstream
 * @param ageMillis how long ago that was
 * @param withdrawn whether it does not count any more, as the request was answered whole since
 * @since 0.3
 */
public record CrashReport(String incarnationId, long ageMillis, boolean withdrawn) {}
