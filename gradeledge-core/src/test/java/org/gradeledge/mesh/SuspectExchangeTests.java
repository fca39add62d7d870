package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.RequestFingerprint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Records of a request that crashes upstreams reach all boxes, with and without relays. */
@Timeout(120)
class SuspectExchangeTests {

  private static final int FEW = 4;
  private static final int MANY = 18;
  private static final RequestFingerprint CRASHING = new RequestFingerprint(1, 2, 3);
  private static final RequestFingerprint HARMLESS = new RequestFingerprint(4, 5, 6);

  private final InProcessBoxes boxes = new InProcessBoxes();

  @AfterEach
  void stop() {
    boxes.close();
  }

  @ParameterizedTest
  @ValueSource(ints = {FEW, MANY})
  void crashesSeenByThreeBoxesQuarantineTheRequestAtAllBoxes(int count) throws Exception {
    startBoxes(count);

    recordCrash(0, CRASHING, "a");
    recordCrash(1, CRASHING, "b");
    recordCrash(count - 1, CRASHING, "c");

    boxes.await(() -> boxes.quarantines().stream().allMatch(box -> box.isQuarantined(CRASHING)));
    assertThat(
            boxes.onLoop(
                () -> boxes.quarantines().stream().anyMatch(b -> b.isQuarantined(HARMLESS))))
        .isFalse();
  }

  @ParameterizedTest
  @ValueSource(ints = {FEW, MANY})
  void aBoxThatStartsLaterLearnsTheQuarantine(int count) throws Exception {
    startBoxes(count);
    for (String incarnation : List.of("a", "b", "c")) {
      recordCrash(0, CRASHING, incarnation);
    }
    boxes.await(() -> boxes.quarantines().stream().allMatch(box -> box.isQuarantined(CRASHING)));

    boxes.startBox();

    boxes.await(() -> newest().isQuarantined(CRASHING));
  }

  @ParameterizedTest
  @ValueSource(ints = {FEW, MANY})
  void aQuarantineLiftedAtOneBoxIsLiftedAtAllBoxes(int count) throws Exception {
    startBoxes(count);
    for (String incarnation : List.of("a", "b", "c")) {
      recordCrash(0, CRASHING, incarnation);
    }
    boxes.await(() -> boxes.quarantines().stream().allMatch(box -> box.isQuarantined(CRASHING)));

    boxes.onLoop(
        () -> {
          boxes.quarantines().get(1).withdrawCrashes(CRASHING);
          return true;
        });

    boxes.await(() -> boxes.quarantines().stream().noneMatch(box -> box.isQuarantined(CRASHING)));
  }

  private void startBoxes(int count) throws Exception {
    boxes.startBoxes(count);
    boxes.await(() -> boxes.meshes().stream().allMatch(mesh -> mesh.aliveCount() == count));
  }

  private Quarantine newest() {
    return boxes.quarantines().get(boxes.quarantines().size() - 1);
  }

  private void recordCrash(int box, RequestFingerprint fingerprint, String incarnation)
      throws Exception {
    boxes.onLoop(
        () -> {
          boxes.quarantines().get(box).recordCrash(fingerprint, incarnation);
          return true;
        });
  }
}
