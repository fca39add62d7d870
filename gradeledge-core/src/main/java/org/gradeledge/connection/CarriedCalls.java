package org.gradeledge.connection;

import java.util.HashSet;
import java.util.Set;

/**
 * Ids of the calls that a connection has carried. The response to a call with one of them could
 * belong to the earlier call, as an upstream may send a second response late. Confined to the event
 * loop.
 */
final class CarriedCalls {

  /** Bounds the memory; rarely reached before a connection is closed. */
  private static final int MAX_IDS = 256;

  private final Set<String> ids = new HashSet<>();

  /** Records that the connection carries a call. */
  void add(OutgoingRequest request) {
    request.correlationHeader().map(CorrelationHeader::value).ifPresent(ids::add);
  }

  /** Returns whether a call with the same id was carried. */
  boolean contains(OutgoingRequest request) {
    return request
        .correlationHeader()
        .map(CorrelationHeader::value)
        .filter(ids::contains)
        .isPresent();
  }

  /** Returns whether no more ids can be recorded, so that the connection must not be reused. */
  boolean isFull() {
    return ids.size() >= MAX_IDS;
  }
}
