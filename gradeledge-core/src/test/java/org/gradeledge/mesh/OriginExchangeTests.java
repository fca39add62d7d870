package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.gradeledge.resumption.OriginLookup;
import org.gradeledge.resumption.OriginRecord;
import org.gradeledge.resumption.StreamOrigin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Records of stream origins among boxes with real connections. */
@Timeout(120)
class OriginExchangeTests {

  private static final int STREAMS = 40;
  private static final int COPIES = 4;
  private static final long RETENTION_MILLIS = 60_000;

  private final InProcessBoxes boxes = new InProcessBoxes();

  @AfterEach
  void close() {
    boxes.close();
  }

  // Guards against boxes that cannot find a stream, and against records at more boxes than needed.
  @ParameterizedTest
  @ValueSource(ints = {2, 8, 61})
  void everyBoxFindsStreamsOfAllOthers(int count) throws Exception {
    startBoxes(count);
    recordStreams(count);

    for (int stream = 0; stream < STREAMS; stream++) {
      assertThat(find((stream + 1 + stream / count) % count, stream).originHash())
          .contains(origin(stream).hash());
      int number = stream;
      assertThat(storingBoxes(number)).hasSizeBetween(Math.min(3, count), COPIES);
    }
    assertThat(find(0, STREAMS).outcome()).isEqualTo(OriginLookup.Outcome.UNKNOWN);
  }

  // Guards against streams that are lost together with the box that began them and one that stores.
  @Test
  void findsStreamsAfterTwoBoxesWereLost() throws Exception {
    startBoxes(8);
    recordStreams(8);
    boxes.stopBox(7);
    boxes.stopBox(3);

    for (int stream = 0; stream < STREAMS; stream++) {
      assertThat(find(stream % 6, stream).originHash()).contains(origin(stream).hash());
    }
  }

  // Guards against streams that are lost while all boxes are restarted one after the other.
  @Test
  void findsStreamsAfterAllBoxesWereRestarted() throws Exception {
    startBoxes(4);
    recordStreams(4);

    for (int restart = 0; restart < 4; restart++) {
      int expected = expectedCopies(List.of(1, 2, 3));
      boxes.onLoop(
          () -> {
            boxes.meshes().get(0).leave();
            return true;
          });
      boxes.await(() -> expectedCopies(List.of(1, 2, 3)) >= Math.max(expected, STREAMS * 3));
      boxes.stopBox(0);
      boxes.startBox();
      boxes.await(() -> boxes.meshes().stream().allMatch(mesh -> mesh.aliveCount() >= 4));
    }

    for (int stream = 0; stream < STREAMS; stream++) {
      assertThat(find(stream % 4, stream).originHash()).contains(origin(stream).hash());
    }
  }

  // Guards against streams that nobody knows once all boxes were lost at the same time.
  @ParameterizedTest
  @ValueSource(ints = {1, 8, 61})
  void findsStreamsAfterAllBoxesWereLost(int count) throws Exception {
    startBoxes(count);
    recordStreams(count);
    boxes.await(() -> boxes.archive().size() == STREAMS);
    for (int box = 0; box < count; box++) {
      boxes.stopBox(0);
    }
    startBoxes(count);

    for (int stream = 0; stream < STREAMS; stream++) {
      OriginLookup lookup = find(stream % count, stream);
      assertThat(lookup.originHash()).contains(origin(stream).hash());
      assertThat(lookup.outcome()).isEqualTo(OriginLookup.Outcome.ARCHIVE);
    }
    assertThat(find(0, STREAMS).originHash()).isEmpty();
  }

  // Guards against asking only boxes that joined after the stream had begun.
  @Test
  void findsStreamsAtABoxThatJoinedLater() throws Exception {
    startBoxes(3);
    recordStreams(3);
    boxes.startBoxes(3);
    boxes.await(() -> boxes.meshes().stream().allMatch(mesh -> mesh.aliveCount() == 6));

    for (int stream = 0; stream < STREAMS; stream++) {
      assertThat(find(3 + stream % 3, stream).originHash()).contains(origin(stream).hash());
    }
  }

  private void startBoxes(int count) throws Exception {
    boxes.startBoxes(count);
    boxes.await(() -> boxes.meshes().stream().allMatch(mesh -> mesh.aliveCount() == count));
  }

  private void recordStreams(int count) throws Exception {
    for (int stream = 0; stream < STREAMS; stream++) {
      int number = stream;
      OriginRecord added = OriginRecord.of(id(stream), origin(stream), RETENTION_MILLIS);
      boxes.onLoop(
          () -> {
            boxes.originDirectories().get(number % count).record(added);
            return true;
          });
      boxes.await(() -> storingBoxes(number).size() >= Math.min(3, count));
    }
  }

  private List<Integer> storingBoxes(int stream) {
    return IntStream.range(0, boxes.streamOrigins().size())
        .filter(
            box ->
                !boxes.streamOrigins().get(box).find(OriginRecord.streamKey(id(stream))).isEmpty())
        .boxed()
        .toList();
  }

  private int expectedCopies(List<Integer> storing) {
    return IntStream.range(0, STREAMS)
        .map(stream -> (int) storingBoxes(stream).stream().filter(storing::contains).count())
        .sum();
  }

  private OriginLookup find(int box, int stream) throws Exception {
    CompletableFuture<OriginLookup> result = new CompletableFuture<>();
    boxes.onLoop(
        () -> {
          boxes.originDirectories().get(box).find(id(stream), result::complete);
          return true;
        });
    return result.get();
  }

  private static String id(int stream) {
    return "stream-" + stream;
  }

  private static StreamOrigin origin(int stream) {
    return new StreamOrigin("service", "v" + stream % 3);
  }
}
