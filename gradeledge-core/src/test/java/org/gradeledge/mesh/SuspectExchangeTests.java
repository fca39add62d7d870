package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.RequestFingerprint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What one box learns of a request that ends upstreams reaches all others, few or many. */
@Timeout(120)
class SuspectExchangeTests {

  private static final int FEW = 4;
  private static final int MANY = 18;
  private static final RequestFingerprint GUILTY = new RequestFingerprint(1, 2, 3);
  private static final RequestFingerprint INNOCENT = new RequestFingerprint(4, 5, 6);

  private final InProcessBoxes boxes = new InProcessBoxes();

  @AfterEach
  void stop() {
    boxes.close();
  }

  @ParameterizedTest
  @ValueSource(ints = {FEW, MANY})
  void endsThatThreeBoxesSawAreOneVerdictAtAll(int count) throws Exception {
    start(count);

    end(0, GUILTY, "a");
    end(1, GUILTY, "b");
    end(count - 1, GUILTY, "c");

    boxes.await(() -> boxes.quarantines().stream().allMatch(box -> box.isQuarantined(GUILTY)));
    assertThat(
            boxes.onLoop(
                () -> boxes.quarantines().stream().anyMatch(b -> b.isQuarantined(INNOCENT))))
        .isFalse();
  }

  @ParameterizedTest
  @ValueSource(ints = {FEW, MANY})
  void aBoxThatComesLaterLearnsTheVerdict(int count) throws Exception {
    start(count);
    for (String start : List.of("a", "b", "c")) {
      end(0, GUILTY, start);
    }
    boxes.await(() -> boxes.quarantines().stream().allMatch(box -> box.isQuarantined(GUILTY)));

    boxes.startBox();

    boxes.await(() -> newest().isQuarantined(GUILTY));
  }

  @ParameterizedTest
  @ValueSource(ints = {FEW, MANY})
  void whatIsLiftedAtOneBoxIsLiftedAtAll(int count) throws Exception {
    start(count);
    for (String start : List.of("a", "b", "c")) {
      end(0, GUILTY, start);
    }
    boxes.await(() -> boxes.quarantines().stream().allMatch(box -> box.isQuarantined(GUILTY)));

    boxes.onLoop(
        () -> {
          boxes.quarantines().get(1).withdrawCrashes(GUILTY);
          return true;
        });

    boxes.await(() -> boxes.quarantines().stream().noneMatch(box -> box.isQuarantined(GUILTY)));
  }

  private void start(int count) throws Exception {
    boxes.startBoxes(count);
    boxes.await(() -> boxes.meshes().stream().allMatch(mesh -> mesh.aliveCount() == count));
  }

  private Quarantine newest() {
    return boxes.quarantines().get(boxes.quarantines().size() - 1);
  }

  private void end(int box, RequestFingerprint fingerprint, String start) throws Exception {
    boxes.onLoop(
        () -> {
          boxes.quarantines().get(box).recordCrash(fingerprint, start);
          return true;
        });
  }
}
