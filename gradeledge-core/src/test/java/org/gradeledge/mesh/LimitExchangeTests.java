package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.limit.LimitAnnouncement;
import org.gradeledge.limit.LimitReport;
import org.gradeledge.limit.UpstreamLimits;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A limit that one box receives reaches all boxes, with and without relays. */
@Timeout(120)
class LimitExchangeTests {

  private static final int FEW = 4;
  private static final int MANY = 18;
  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("u", "service", "10.0.0.1", 1, "zone", 8, false);

  private final InProcessBoxes boxes = new InProcessBoxes();

  @AfterEach
  void stop() {
    boxes.close();
  }

  @ParameterizedTest
  @ValueSource(ints = {FEW, MANY})
  void allBoxesLearnALimitAndItsRemoval(int count) throws Exception {
    start(count);

    answer(LimitAnnouncement.named(1.3));
    boxes.await(() -> all().allMatch(box -> box.limitOf(UPSTREAM.incarnationId()).isPresent()));

    answer(LimitAnnouncement.NO_LIMIT);
    boxes.await(() -> all().allMatch(box -> box.limitOf(UPSTREAM.incarnationId()).isEmpty()));
  }

  @ParameterizedTest
  @ValueSource(ints = {FEW, MANY})
  void aBoxThatStartsLaterLearnsTheLimit(int count) throws Exception {
    start(count);
    answer(LimitAnnouncement.named(2));
    boxes.await(() -> all().allMatch(box -> box.limitOf(UPSTREAM.incarnationId()).isPresent()));

    boxes.startBox();
    list(count);

    boxes.await(() -> boxes.limits().get(count).limitOf(UPSTREAM.incarnationId()).isPresent());
    assertThat(boxes.onLoop(() -> boxes.limits().get(count).reports()))
        .extracting(LimitReport::requestsPer1000Seconds)
        .containsExactly(2_000L);
  }

  @ParameterizedTest
  @ValueSource(ints = {FEW, MANY})
  void eachBoxHasADistinctRank(int count) throws Exception {
    start(count);

    boxes.await(() -> ranks(count).equals(IntStream.range(0, count).boxed().toList()));
  }

  private List<Integer> ranks(int count) {
    return boxes.meshes().stream()
        .flatMap(mesh -> mesh.rank(UPSTREAM.incarnationId()).stream())
        .filter(rank -> rank.boxCount() == count)
        .map(rank -> rank.rank())
        .sorted()
        .toList();
  }

  private Stream<UpstreamLimits> all() {
    return boxes.limits().stream();
  }

  private void start(int count) throws Exception {
    boxes.startBoxes(count);
    IntStream.range(0, count).forEach(this::list);
    if (count == MANY) {
      boxes.awaitCompleteViews(count);
    }
  }

  private void list(int box) {
    try {
      boxes.onLoop(
          () -> {
            boxes.registries().get(box).replaceAll(1, List.of(UPSTREAM));
            return true;
          });
    } catch (Exception e) {
      throw new AssertionError("failed to set the list of upstreams", e);
    }
  }

  private void answer(LimitAnnouncement statement) throws Exception {
    boxes.onLoop(
        () -> {
          long sent = MonotonicClock.system().nanos();
          boxes.limits().get(0).onAnswer(UPSTREAM, sent, statement);
          return true;
        });
  }
}
