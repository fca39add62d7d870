package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.discovery.ZoneEvacuations;
import org.gradeledge.follow.TableRevision;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What one box has read of the list of upstreams reaches many others. */
@Timeout(120)
class UpstreamListPropagationTests {

  private static final int BOXES = 18;
  private static final long REVISION = 7;
  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("id", "service", "127.0.0.1", 1, "zone-0", 1, false);
  private static final UpstreamRecord STARTED_AFTERWARDS =
      new UpstreamRecord("afterwards", "service", "10.0.0.2", 1, "zone-1", 1, false);

  private final InProcessBoxes boxes = new InProcessBoxes();

  @AfterEach
  void stop() {
    boxes.close();
  }

  /**
   * A box that does not hear a stronger one of its zone yet takes itself for a relay and reads too,
   * so that the count means something only once all hear all.
   */
  @Test
  void newsOfUpstreamsReachesAllThoughOnlyRelaysReadIt() throws Exception {
    boxes.startBoxes(BOXES);
    boxes.awaitCompleteViews(BOXES);
    AtomicInteger reads = new AtomicInteger();
    boxes.onLoop(() -> readNewsOnAsking(reads));

    boxes.onLoop(() -> learn(0));
    boxes.await(() -> boxes.registries().stream().allMatch(each -> each.revision() == REVISION));

    assertThat(reads.get()).isLessThan(BOXES / 2);
  }

  /**
   * Seen: among many boxes most dropped all upstreams for up to two seconds after an outage of the
   * list, in which the entries had lapsed.
   *
   * <p>How it came about: a box that reads the list every ten seconds, as others tell it of news,
   * has not noticed the outage; the list that it is told lacks the entries that the teller itself
   * keeps in use, and it takes them as gone.
   */
  @ParameterizedTest
  @ValueSource(ints = {18, 61, 86})
  void anEntryThatMayOnlyHaveLapsedStaysInUseAtBoxesThatAreToldOfIt(int count) throws Exception {
    boxes.startBoxes(count);
    boxes.awaitCompleteViews(count);
    boxes.onLoop(() -> learn(0));
    boxes.await(() -> boxes.registries().stream().allMatch(each -> each.revision() == REVISION));

    boxes.onLoop(() -> lapseAt(0));
    boxes.await(() -> boxes.registries().stream().allMatch(each -> each.revision() > REVISION));

    assertThat(
            boxes.onLoop(
                () -> boxes.registries().stream().filter(each -> each.isUsable(UPSTREAM)).count()))
        .isEqualTo(count);
  }

  @ParameterizedTest
  @ValueSource(ints = {BOXES, 61, 86})
  void whatOneBoxReadsAfterADrillReachesAllAndDropsNothingThatTheCopyLacks(int count)
      throws Exception {
    boxes.startBoxes(count);
    boxes.awaitCompleteViews(count);
    boxes.onLoop(() -> learn(0));
    boxes.await(() -> boxes.registries().stream().allMatch(each -> each.revision() == REVISION));

    boxes.onLoop(() -> readOlderCopyAt(0));
    boxes.await(
        () -> boxes.registries().stream().allMatch(each -> each.isUsable(STARTED_AFTERWARDS)));

    assertThat(
            boxes.onLoop(
                () -> boxes.registries().stream().filter(each -> each.isUsable(UPSTREAM)).count()))
        .isEqualTo(count);
  }

  private boolean readOlderCopyAt(int box) {
    UpstreamRegistry registry = boxes.registries().get(box);
    registry.distrustRemovals();
    registry.replaceAll(TableRevision.of(1, 2), List.of(STARTED_AFTERWARDS));
    boxes.meshes().get(box).announceNow();
    return true;
  }

  private boolean lapseAt(int box) {
    boxes.registries().get(box).distrustRemovals();
    boxes.registries().get(box).update(REVISION + 1, List.of(), List.of(UPSTREAM.id()));
    boxes.meshes().get(box).announceNow();
    return true;
  }

  @Test
  void anEvacuationThatOneBoxReadsReachesAll() throws Exception {
    boxes.startBoxes(BOXES);
    boxes.await(() -> boxes.meshes().stream().allMatch(BoxMesh::receivesDigests));
    ZoneEvacuations ordered = new ZoneEvacuations(REVISION, Set.of("zone-0"));

    boxes.onLoop(() -> boxes.registries().get(BOXES - 1).applyEvacuations(ordered));

    boxes.await(
        () -> boxes.registries().stream().allMatch(each -> each.evacuations().equals(ordered)));
  }

  private boolean readNewsOnAsking(AtomicInteger reads) {
    for (int box = 0; box < BOXES; box++) {
      int reader = box;
      boxes
          .meshes()
          .get(box)
          .onNewUpstreamList(
              () -> {
                reads.incrementAndGet();
                learn(reader);
              });
    }
    return true;
  }

  private boolean learn(int box) {
    boxes.registries().get(box).replaceAll(REVISION, List.of(UPSTREAM));
    boxes.meshes().get(box).announceNow();
    return true;
  }
}
