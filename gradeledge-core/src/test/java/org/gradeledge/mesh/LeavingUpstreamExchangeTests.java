package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An upstream announces to one box that it is leaving, while the list does not show it. */
@Timeout(120)
class LeavingUpstreamExchangeTests {

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("id", 10, "service", "10.0.0.1", 1, "zone", 1, false, 0, Optional.empty());
  private static final UpstreamRecord NEXT_INCARNATION =
      new UpstreamRecord("id", 20, "service", "10.0.0.1", 1, "zone", 1, false, 0, Optional.empty());
  private static final int FEW = 3;
  private static final int MANY = 18;

  private final InProcessBoxes boxes = new InProcessBoxes();

  @AfterEach
  void stop() {
    boxes.close();
  }

  /** Guards against requests to an upstream that announced to another box that it is leaving. */
  @ParameterizedTest
  @ValueSource(ints = {FEW, MANY})
  void noBoxUsesALeavingUpstreamUntilItsNextIncarnation(int count) throws Exception {
    start(count);

    announce(0);
    boxes.await(() -> all().allMatch(each -> each.usable("service").isEmpty()));

    listAll(2, NEXT_INCARNATION);
    assertThat(boxes.onLoop(() -> all().allMatch(each -> each.isUsable(NEXT_INCARNATION))))
        .isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {FEW, MANY})
  void aBoxThatStartsLaterDoesNotUseTheLeavingUpstream(int count) throws Exception {
    start(count);
    announce(0);

    boxes.startBox();
    list(count, 1, UPSTREAM);

    boxes.await(() -> boxes.registries().get(count).usable("service").isEmpty());
  }

  private Stream<UpstreamRegistry> all() {
    return boxes.registries().stream();
  }

  private void start(int count) throws Exception {
    boxes.startBoxes(count);
    listAll(1, UPSTREAM);
    if (count == MANY) {
      boxes.awaitCompleteViews(count);
    }
  }

  private void announce(int box) throws Exception {
    boxes.onLoop(
        () -> {
          boxes.registries().get(box).recordLeavingAnnouncement(UPSTREAM);
          return true;
        });
  }

  private void listAll(int revision, UpstreamRecord upstream) throws Exception {
    for (int box = 0; box < boxes.registries().size(); box++) {
      list(box, revision, upstream);
    }
  }

  private void list(int box, int revision, UpstreamRecord upstream) throws Exception {
    boxes.onLoop(
        () -> {
          boxes.registries().get(box).replaceAll(revision, List.of(upstream));
          return true;
        });
  }
}
