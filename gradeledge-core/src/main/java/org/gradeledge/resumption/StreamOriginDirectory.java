package org.gradeledge.resumption;

import java.util.List;
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
  private final OriginArchive archive;

  /** Creates the directory of a box. */
  public StreamOriginDirectory(StreamOrigins own, OriginReplicas replicas, OriginArchive archive) {
    this.own = own;
    this.replicas = replicas;
    this.archive = archive;
  }

  /** Records the origin of a stream whose first event is about to be forwarded. */
  public void record(OriginRecord originRecord) {
    own.add(originRecord);
    replicas.store(originRecord);
    archive.add(List.of(originRecord));
  }

  /**
   * Finds the origin of the stream that a request began. Calls the listener once, on the event
   * loop, possibly before returning.
   */
  public void find(String requestId, Consumer<OriginLookup> listener) {
    long streamKey = OriginRecord.streamKey(requestId);
    Set<Long> known = own.find(streamKey);
    if (known.isEmpty()) {
      replicas.find(streamKey, origins -> onReplicas(streamKey, origins, listener));
    } else {
      listener.accept(OriginLookup.of(OriginLookup.Outcome.OWN_RECORD, known));
    }
  }

  /** Searches the archive if all boxes that may have known the stream are gone. */
  private void onReplicas(long streamKey, Set<Long> origins, Consumer<OriginLookup> listener) {
    if (origins.isEmpty()) {
      archive.find(
          streamKey,
          archived -> listener.accept(OriginLookup.of(OriginLookup.Outcome.ARCHIVE, archived)));
    } else {
      listener.accept(OriginLookup.of(OriginLookup.Outcome.REPLICA, origins));
    }
  }
}
