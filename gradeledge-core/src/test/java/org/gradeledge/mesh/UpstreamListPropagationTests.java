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

/** Changes in the list of upstreams that one box reads reach all boxes over relays. */
@Timeout(120)
class UpstreamListPropagationTests {

  private static final int BOXES = 18;
  private static final long REVISION = 7;
  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("id", "service", "127.0.0.1", 1, "zone-0", 1, false);
  private static final UpstreamRecord STARTED_LATER =
      new UpstreamRecord("later", "service", "10.0.0.2", 1, "zone-1", 1, false);

  private final InProcessBoxes boxes = new InProcessBoxes();

  @AfterEach
  void stop() {
    boxes.close();
  }

  /**
   * Guards against all boxes reading a new list. Reads are counted once all boxes see each other,
   * as before that more boxes act as relays.
   */
  @Test
  void aNewListReachesAllBoxesThoughOnlyRelaysReadIt() throws Exception {
    boxes.startBoxes(BOXES);
    boxes.awaitCompleteViews(BOXES);
    AtomicInteger reads = new AtomicInteger();
    boxes.onLoop(() -> countReads(reads));

    boxes.onLoop(() -> applyNewList(0));
    boxes.await(() -> boxes.registries().stream().allMatch(each -> each.revision() == REVISION));

    assertThat(reads.get()).isLessThan(BOXES / 2);
  }

  /**
   * Guards against the removal of all upstreams at boxes that receive a list in which entries
   * lapsed during an outage that they have not noticed.
   */
  @ParameterizedTest
  @ValueSource(ints = {18, 61, 86})
  void anEntryThatMayOnlyHaveLapsedStaysInUseAtAllBoxes(int count) throws Exception {
    boxes.startBoxes(count);
    boxes.awaitCompleteViews(count);
    boxes.onLoop(() -> applyNewList(0));
    boxes.await(() -> boxes.registries().stream().allMatch(each -> each.revision() == REVISION));

    boxes.onLoop(() -> applyLapsedListAt(0));
    boxes.await(() -> boxes.registries().stream().allMatch(each -> each.revision() > REVISION));

    assertThat(
            boxes.onLoop(
                () -> boxes.registries().stream().filter(each -> each.isUsable(UPSTREAM)).count()))
        .isEqualTo(count);
  }

  @ParameterizedTest
  @ValueSource(ints = {BOXES, 61, 86})
  void aListFromARestoredBackupReachesAllBoxesAndRemovesNoUpstream(int count) throws Exception {
    boxes.startBoxes(count);
    boxes.awaitCompleteViews(count);
    boxes.onLoop(() -> applyNewList(0));
    boxes.await(() -> boxes.registries().stream().allMatch(each -> each.revision() == REVISION));

    boxes.onLoop(() -> readRestoredBackupAt(0));
    boxes.await(() -> boxes.registries().stream().allMatch(each -> each.isUsable(STARTED_LATER)));

    assertThat(
            boxes.onLoop(
                () -> boxes.registries().stream().filter(each -> each.isUsable(UPSTREAM)).count()))
        .isEqualTo(count);
  }

  private boolean readRestoredBackupAt(int box) {
    UpstreamRegistry registry = boxes.registries().get(box);
    registry.distrustRemovals();
    registry.replaceAll(TableRevision.of(1, 2), List.of(STARTED_LATER));
    boxes.meshes().get(box).announceNow();
    return true;
  }

  private boolean applyLapsedListAt(int box) {
    boxes.registries().get(box).distrustRemovals();
    boxes.registries().get(box).update(REVISION + 1, List.of(), List.of(UPSTREAM.id()));
    boxes.meshes().get(box).announceNow();
    return true;
  }

  @Test
  void anEvacuationReachesAllBoxes() throws Exception {
    boxes.startBoxes(BOXES);
    boxes.await(() -> boxes.meshes().stream().allMatch(BoxMesh::receivesDigests));
    ZoneEvacuations evacuations = new ZoneEvacuations(REVISION, Set.of("zone-0"));

    boxes.onLoop(() -> boxes.registries().get(BOXES - 1).applyEvacuations(evacuations));

    boxes.await(
        () -> boxes.registries().stream().allMatch(each -> each.evacuations().equals(evacuations)));
  }

  private boolean countReads(AtomicInteger reads) {
    for (int box = 0; box < BOXES; box++) {
      int reader = box;
      boxes
          .meshes()
          .get(box)
          .onNewUpstreamList(
              () -> {
                reads.incrementAndGet();
                applyNewList(reader);
              });
    }
    return true;
  }

  private boolean applyNewList(int box) {
    boxes.registries().get(box).replaceAll(REVISION, List.of(UPSTREAM));
    boxes.meshes().get(box).announceNow();
    return true;
  }
}
