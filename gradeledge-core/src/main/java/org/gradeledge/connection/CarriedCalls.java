package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpMethod;
import java.util.HashSet;
import java.util.Set;

/**
 * The calls that a connection has carried: their ids, and whether it may carry another one. The
 * response to a call with one of the ids could belong to the earlier call, as an upstream may send
 * a second response late. Confined to the event loop.
 */
final class CarriedCalls {

  /** Rarely reached before a connection is closed. */
  private static final int MAX_IDS = 256;

  /** Bounds the memory, as callers choose the ids. */
  private static final int MAX_ID_CHARACTERS = 16 * 1024;

  private final Set<String> ids = new HashSet<>();
  private int idCharacters;
  private boolean exhausted;

  /** Records that the connection carries a call. */
  void add(OutgoingRequest request) {
    request.correlationHeader().map(CorrelationHeader::value).ifPresent(this::add);
    exhausted |= request.reuse() == ConnectionReuse.NONE || isFull();
    exhausted |= request.method().equals(HttpMethod.HEAD);
  }

  private void add(String id) {
    ids.add(id);
    idCharacters += id.length();
  }

  private boolean isFull() {
    return ids.size() >= MAX_IDS || idCharacters >= MAX_ID_CHARACTERS;
  }

  /** Returns whether a call with the same id was carried. */
  boolean contains(OutgoingRequest request) {
    return request
        .correlationHeader()
        .map(CorrelationHeader::value)
        .filter(ids::contains)
        .isPresent();
  }

  /** Returns whether a text contains a header line with the id of a call. */
  boolean hasIdIn(String text) {
    return ids.stream().anyMatch(id -> text.contains(": " + id + "\r\n"));
  }

  /**
   * Returns whether the connection may carry another call. It may not after a HEAD request: a late
   * second response to it has a length and no content, and would take that of the next response.
   */
  boolean allowsAnother() {
    return !exhausted;
  }
}
