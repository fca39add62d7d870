package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.resumption.OriginRecord;
import org.gradeledge.resumption.OriginReplicas;
import org.gradeledge.resumption.ReplicaSelector;
import org.gradeledge.resumption.StreamOrigins;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Stores the origins of streams at three boxes each and asks these for them. Confined to the event
 * loop.
 */
final class OriginExchange implements OriginReplicas {

  private static final int REPLICAS = 3;

  /**
   * Among many boxes only some store records, as the boxes of successive streams are unrelated and
   * each box connects to all that store.
   */
  private static final int MIN_STORING_BOXES = HeartbeatRoutes.MAX_FULL_MESH_BOXES;

  /** Bounds the records that a storing box receives to a multiple of those that a box sends. */
  private static final int BOXES_PER_STORING_BOX = 4;

  /** Bounds the wait for a box that does not respond. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);

  /**
   * Boxes that joined since the stream began may have replaced those that store its record, which
   * then follow in the order.
   */
  private static final int MAX_ASKED = 2 * REPLICAS;

  /** Time for a box that does not know its peers yet to hear of them. */
  private static final long DISCOVERY_PAUSE_MILLIS = 100;

  /** Keeps messages small that hand over many records. */
  private static final int MAX_RECORDS_PER_MESSAGE = 256;

  private static final String TASK = "stream-origins";

  private final String self;
  private final PeerTable peers;
  private final MeshConnections connections;
  private final EventLoop loop;
  private final StreamOrigins origins;
  private Set<String> pooledBoxes = Set.of();
  private List<String> pool = List.of();

  OriginExchange(
      String self,
      PeerTable peers,
      MeshConnections connections,
      EventLoop loop,
      StreamOrigins origins) {
    this.self = self;
    this.peers = peers;
    this.connections = connections;
    this.loop = loop;
    this.origins = origins;
  }

  void registerHandlers(PeerNetwork network) {
    network.register(
        MeshMessages.STREAM_ORIGINS,
        (from, message) ->
            Mono.fromRunnable(() -> loop.execute(() -> message.records().forEach(origins::add))));
    network.register(
        MeshMessages.STREAM_ORIGIN_QUERY,
        (from, query) ->
            Mono.fromCallable(() -> answer(query)).subscribeOn(Schedulers.fromExecutor(loop)));
  }

  private OriginRecords answer(OriginQuery query) {
    return OriginRecords.answer(query.streamKey(), origins.find(query.streamKey()));
  }

  @Override
  public void store(OriginRecord originRecord) {
    OriginRecords message = new OriginRecords(List.of(originRecord));
    storingBoxes(originRecord.streamKey())
        .forEach(box -> connections.send(box, MeshMessages.STREAM_ORIGINS, message));
  }

  /** Sends all records of this box, which is about to stop, to the boxes that store them then. */
  void handOver() {
    Map<String, List<OriginRecord>> recordsByBox = new HashMap<>();
    for (OriginRecord each : origins.all()) {
      for (String box : storingBoxes(each.streamKey())) {
        recordsByBox.computeIfAbsent(box, name -> new ArrayList<>()).add(each);
      }
    }
    recordsByBox.forEach(this::sendInParts);
  }

  private void sendInParts(String box, List<OriginRecord> records) {
    for (int from = 0; from < records.size(); from += MAX_RECORDS_PER_MESSAGE) {
      int to = Math.min(records.size(), from + MAX_RECORDS_PER_MESSAGE);
      OriginRecords part = new OriginRecords(List.copyOf(records.subList(from, to)));
      connections.send(box, MeshMessages.STREAM_ORIGINS, part);
    }
  }

  @Override
  public void find(long streamKey, Consumer<Set<Long>> listener) {
    List<String> boxes = select(streamKey, MAX_ASKED);
    ask(
        boxes.stream().limit(REPLICAS).toList(),
        streamKey,
        found -> {
          if (found.isEmpty()) {
            findElsewhere(boxes, streamKey, listener);
          } else {
            listener.accept(found);
          }
        });
  }

  /** Asks the boxes that follow, after a pause if this box may have asked the wrong ones. */
  private void findElsewhere(List<String> boxes, long streamKey, Consumer<Set<Long>> listener) {
    if (peers.isDiscoveryComplete()) {
      ask(boxes.stream().skip(REPLICAS).toList(), streamKey, listener);
    } else {
      loop.schedule(
          () -> ask(select(streamKey, MAX_ASKED), streamKey, listener),
          DISCOVERY_PAUSE_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Asks boxes at the same time; the first that knows the stream decides. */
  private void ask(List<String> boxes, long streamKey, Consumer<Set<Long>> listener) {
    Flux.fromIterable(boxes)
        .filter(box -> !box.equals(self))
        .flatMap(box -> ask(box, streamKey).onErrorComplete())
        .filter(answer -> !answer.records().isEmpty())
        .next()
        .map(OriginRecords::originHashes)
        .defaultIfEmpty(Set.of())
        .subscribe(found -> loop.execute(() -> listener.accept(found)));
  }

  private Mono<OriginRecords> ask(String box, long streamKey) {
    return connections
        .request(
            box,
            MeshMessages.STREAM_ORIGIN_QUERY,
            new OriginQuery(streamKey),
            OriginRecords.class,
            ANSWER_TIMEOUT)
        .doOnError(e -> Logger.debug(e, "Box {} did not tell the origin of a stream", box));
  }

  /** Returns the boxes that store a record, other than this one. */
  private List<String> storingBoxes(long streamKey) {
    return select(streamKey, REPLICAS).stream().filter(box -> !box.equals(self)).toList();
  }

  private List<String> select(long streamKey, int count) {
    Set<String> available = peers.available();
    if (available != pooledBoxes) {
      pooledBoxes = available;
      pool = limitToPool(available);
    }
    return ReplicaSelector.select(streamKey, pool, box -> peers.zoneOf(box).orElse(""), count);
  }

  private List<String> limitToPool(Set<String> available) {
    int size = Math.max(MIN_STORING_BOXES, available.size() / BOXES_PER_STORING_BOX);
    return available.size() <= size
        ? List.copyOf(available)
        : available.stream().sorted(peers.byRank(TASK)).limit(size).toList();
  }
}
