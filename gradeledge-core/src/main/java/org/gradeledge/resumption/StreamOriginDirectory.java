package org.gradeledge.resumption;

import java.util.Set;
import java.util.function.Consumer;

/**
 * Records where streams began and finds it for those that callers resume. A record is made only for
 * the upstream whose event reached the caller, so each record that a box holds is proof, and a
 * missing one means no more than that nothing is known. Confined to the event loop.
 *
 * @since 0.3
 */
public final class StreamOriginDirectory {

  private final StreamOrigins own;
  private final OriginReplicas replicas;

  /** Creates the directory of a box. */
  public StreamOriginDirectory(StreamOrigins own, OriginReplicas replicas) {
    this.own = own;
    this.replicas = replicas;
  }

  /** Records the origin of a stream whose first event is about to be forwarded. */
  public void record(OriginRecord originRecord) {
    own.add(originRecord);
    replicas.store(originRecord);
  }

  /**
   * Finds the origin of the stream that a request began. Calls the listener once, on the event
   * loop, possibly before returning.
   */
  public void find(String requestId, Consumer<OriginLookup> listener) {
    long streamKey = OriginRecord.streamKey(requestId);
    Set<Long> known = own.find(streamKey);
    if (known.isEmpty()) {
      replicas.find(
          streamKey,
          origins -> listener.accept(OriginLookup.of(OriginLookup.Outcome.REPLICA, origins)));
    } else {
      listener.accept(OriginLookup.of(OriginLookup.Outcome.OWN_RECORD, known));
    }
  }
}
