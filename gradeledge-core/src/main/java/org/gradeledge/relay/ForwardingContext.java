package org.gradeledge.relay;

import java.util.List;
import java.util.Optional;

/**
 * Metadata that is sent to an upstream along with the caller's request.
 *
 * @param remainingMillis time left until the request times out
 * @param account name of the client account
 * @param priority 0 is the highest
 * @param inputHandles handles of the stage results that the request uses
 * @param lastEventId id of the last event that was forwarded to the caller
 * @since 0.2
 */
public record ForwardingContext(
    long remainingMillis,
    Optional<String> account,
    int priority,
    List<String> inputHandles,
    Optional<String> lastEventId) {}
