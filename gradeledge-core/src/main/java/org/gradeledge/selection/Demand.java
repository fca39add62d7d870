package org.gradeledge.selection;

import java.util.Optional;

/**
 * What a request asks of an upstream.
 *
 * @param affinityKey names what an upstream may still keep of it, such as a shared part of its
 *     prompt
 * @param sharedPromptTokens tokens that need not be read again where they are kept
 * @param memoryTokens tokens of memory that it may need, zero where that means nothing
 * @param preferredZone zone that it is best served in, such as that of its inputs
 * @param crossZoneBytes bytes that cross zones if it is served in another one
 * @since 0.2
 */
public record Demand(
    Optional<String> affinityKey,
    long sharedPromptTokens,
    long memoryTokens,
    String preferredZone,
    long crossZoneBytes) {}
