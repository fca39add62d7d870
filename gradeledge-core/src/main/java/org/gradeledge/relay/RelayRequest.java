package org.gradeledge.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;

/**
 * A caller's request.
 *
 * @param id request id; empty if the caller sent none
 * @param method HTTP method
 * @param uri path and query, unchanged
 * @param path path without the query
 * @param host requested host
 * @param headers all headers, unchanged
 * @param body the complete body
 * @param deadlineMillis how long the caller waits, if it sent a deadline
 * @param accountKey key of a client account
 * @param lastEventId id of the last event of a stream that the caller has received
 * @param resumedRequestId id of the request that the caller resumes: the one that brought the first
 *     event of the stream
 * @param promptParts parts of the prompt, shared ones first
 * @param maxTokens total tokens of the prompt and of the longest possible answer
 * @param pieceCounts number of pieces by stage
 * @param pieceKey key of the input of the first stages
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
    Optional<String> resumedRequestId,
    List<PromptPart> promptParts,
    long maxTokens,
    List<Integer> pieceCounts,
    Optional<String> pieceKey) {

  /** Returns the ids of the shared parts of the prompt: all but the last part. */
  public List<String> sharedPartIds() {
    return promptParts.stream()
        .limit(Math.max(0, promptParts.size() - 1))
        .map(PromptPart::id)
        .toList();
  }

  /** Returns the id of the last shared part of the prompt. */
  public Optional<String> sharedPartId() {
    return promptParts.size() < 2
        ? Optional.empty()
        : Optional.of(promptParts.get(promptParts.size() - 2).id());
  }

  /** Returns the number of tokens in the shared parts of the prompt. */
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
