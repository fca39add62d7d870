package org.gradeledge.relay;

import java.util.List;
import java.util.Optional;

/**
 * What an upstream is told of a request besides what the caller sent.
 *
 * @param remainingMillis time left for it
 * @param account name of the client account
 * @param priority 0 is the most urgent
 * @param inputHandles results of the stages that come before
 * @param lastEventId id of the last event that was passed on
 * @since 0.2
 */
public record ForwardingContext(
    long remainingMillis,
    Optional<String> account,
    int priority,
    List<String> inputHandles,
    Optional<String> lastEventId) {}
