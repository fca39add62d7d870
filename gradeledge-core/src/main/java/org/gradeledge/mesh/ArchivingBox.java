package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.resumption.OriginArchive;
import org.gradeledge.resumption.OriginRecord;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Sends the records of this box to the one that archives those of all boxes, in batches, and asks
 * it for streams that no box knows. Boxes that do not know each other yet use the archive
 * themselves. Confined to the event loop.
 */
final class ArchivingBox implements OriginArchive {

  private static final Duration SEND_INTERVAL = Duration.ofMillis(100);

  /** Covers a read of the archive by the box that is asked. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_500);

  private static final String TASK = "archive-stream-origins";

  private final String self;
  private final PeerTable peers;
  private final MeshConnections connections;
  private final EventLoop loop;
  private final OriginArchive archive;
  private List<OriginRecord> pending = new ArrayList<>();

  ArchivingBox(
      String self,
      PeerTable peers,
      MeshConnections connections,
      EventLoop loop,
      OriginArchive archive) {
    this.self = self;
    this.peers = peers;
    this.connections = connections;
    this.loop = loop;
    this.archive = archive;
  }

  void registerHandlers(PeerNetwork network) {
    network.register(
        MeshMessages.ARCHIVE_ORIGINS,
        (from, message) ->
            Mono.fromRunnable(() -> loop.execute(() -> archive.add(message.records()))));
    network.register(
        MeshMessages.ARCHIVED_ORIGIN_QUERY,
        (from, query) ->
            Mono.<Set<Long>>create(sink -> archive.find(query.streamKey(), sink::success))
                .subscribeOn(Schedulers.fromExecutor(loop))
                .map(found -> OriginRecords.answer(query.streamKey(), found)));
  }

  @Override
  public void add(List<OriginRecord> records) {
    if (pending.isEmpty()) {
      loop.schedule(this::flush, SEND_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }
    pending.addAll(records);
  }

  /** Sends the pending records now. */
  void flush() {
    if (pending.isEmpty()) {
      return;
    }
    OriginRecords batch = new OriginRecords(pending);
    pending = new ArrayList<>();
    String box = archivingBox();
    if (box.equals(self)) {
      archive.add(batch.records());
    } else {
      connections.send(box, MeshMessages.ARCHIVE_ORIGINS, batch);
    }
  }

  @Override
  public void find(long streamKey, Consumer<Set<Long>> listener) {
    String box = archivingBox();
    if (box.equals(self)) {
      archive.find(streamKey, listener);
      return;
    }
    connections
        .request(
            box,
            MeshMessages.ARCHIVED_ORIGIN_QUERY,
            new OriginQuery(streamKey),
            OriginRecords.class,
            ANSWER_TIMEOUT)
        .doOnError(e -> Logger.debug(e, "Box {} did not search the archive of origins", box))
        .onErrorReturn(new OriginRecords(List.of()))
        .map(OriginRecords::originHashes)
        .subscribe(found -> loop.execute(() -> listener.accept(found)));
  }

  private String archivingBox() {
    return peers.available().stream().min(peers.byRank(TASK)).orElse(self);
  }
}
