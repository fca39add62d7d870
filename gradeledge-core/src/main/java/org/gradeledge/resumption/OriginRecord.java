package org.gradeledge.resumption;

/**
 * Says where a stream began, in hashes, as a box sends several records for each stream.
 *
 * @param streamKey key of the stream, see {@link #streamKey}
 * @param originHash {@link StreamOrigin#hash} of the upstream that sent the first event
 * @param retentionMillis how long the caller may still resume the stream
 * @since 0.3
 */
public record OriginRecord(long streamKey, long originHash, long retentionMillis) {

  /** Creates the record of the stream that a request began. */
  public static OriginRecord of(String requestId, StreamOrigin origin, long retentionMillis) {
    return new OriginRecord(streamKey(requestId), origin.hash(), retentionMillis);
  }

  /** Returns the key of the stream that a request began. */
  public static long streamKey(String requestId) {
    return StableHash.of(requestId);
  }
}
