package org.gradeledge.selection;

import java.util.Optional;

/**
 * The properties of a request that influence the selection of its upstream.
 *
 * @param affinityKey key of the data that an upstream may have cached for it, such as a shared
 *     prompt prefix
 * @param sharedPromptTokens tokens that are not processed again where they are cached
 * @param memoryTokens memory that it may require in tokens, zero if not applicable
 * @param preferredZone preferred availability zone, such as that of its inputs
 * @param crossZoneBytes bytes transferred between zones if it is served in another zone
 * @since 0.2
 */
public record Demand(
    Optional<String> affinityKey,
    long sharedPromptTokens,
    long memoryTokens,
    String preferredZone,
    long crossZoneBytes) {}
