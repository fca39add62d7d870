package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A configuration that one box has read reaches all boxes. */
@Timeout(120)
class ConfigurationPropagationTests {

  private static final int REVISION = 7;

  private final InProcessBoxes boxes = new InProcessBoxes();

  @AfterEach
  void stop() {
    boxes.close();
  }

  // Guards against late configurations because one box sends them to all others over its link.
  @ParameterizedTest
  @ValueSource(ints = {61, 86})
  void noBoxSendsConfigurationToHalfOfTheBoxes(int count) throws Exception {
    boxes.startBoxes(count);
    boxes.awaitCompleteViews(count);

    boxes.onLoop(
        () -> {
          boxes.deployments().get(count - 1).offer(new byte[] {REVISION}, "platform");
          boxes.meshes().get(count - 1).announceNow();
          return true;
        });
    boxes.await(() -> boxes.deployments().stream().allMatch(each -> each.revision() == REVISION));

    long mostSent =
        IntStream.range(0, count).mapToLong(boxes::configurationsTakenFrom).max().orElse(0);
    assertThat(mostSent).isPositive().isLessThan(count / 2);
  }
}
