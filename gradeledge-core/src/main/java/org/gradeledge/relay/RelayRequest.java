package org.gradeledge.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;

/**
 * A caller's request, with what the relay needs to know of it.
 *
 * @param id its id; empty text where the caller gave none
 * @param method method, unchanged
 * @param uri path and query, unchanged
 * @param path path without the query
 * @param host host that the caller named
 * @param headers all headers as they came
 * @param body the whole body
 * @param deadlineMillis how long the caller waits, where it says so
 * @param accountKey key of a client account
 * @param lastEventId id of the last event that the caller has of a stream
 * @param promptParts parts of the prompt, shared ones first
 * @param maxTokens tokens of the prompt and of the longest answer together
 * @param pieceCounts pieces of each stage
 * @param pieceKey what the first stages work from
 * @since 0.2
 */
public record RelayRequest(
    String id,
    HttpMethod method,
    String uri,
    String path,
    String host,
    HttpHeaders headers,
    byte[] body,
    Optional<Long> deadlineMillis,
    Optional<String> accountKey,
    Optional<String> lastEventId,
    List<PromptPart> promptParts,
    long maxTokens,
    List<Integer> pieceCounts,
    Optional<String> pieceKey) {

  /** Returns the id of the last part of the prompt that other requests share. */
  public Optional<String> sharedPartId() {
    return promptParts.size() < 2
        ? Optional.empty()
        : Optional.of(promptParts.get(promptParts.size() - 2).id());
  }

  /** Returns the tokens of the prompt that other requests share. */
  public long sharedTokens() {
    return promptParts.stream()
        .limit(Math.max(0, promptParts.size() - 1))
        .mapToLong(PromptPart::tokens)
        .sum();
  }

  @Override
  public String toString() {
    return "RelayRequest[" + id + "]";
  }
}
