package org.gradeledge.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

class DeploymentRegistryTests {

  private static final byte UNREADABLE = 99;

  private final DeploymentRegistry registry =
      new DeploymentRegistry(
          document ->
              document[0] == UNREADABLE
                  ? Either.left("bad")
                  : Either.right(TestDeployments.of(document[0])),
          EventLogs.silent());

  @Test
  void ignoresOlderRevisions() {
    List<Long> taken = new ArrayList<>();
    registry.onChange(next -> taken.add(next.revision()));

    registry.offer(new byte[] {3}, "platform");
    registry.offer(new byte[] {2}, "peer");
    registry.offer(new byte[] {3}, "peer");
    registry.offer(new byte[] {5}, "peer");

    assertThat(registry.revision()).isEqualTo(5);
    assertThat(taken).containsExactly(3L, 5L);
  }

  @Test
  void keepsLastReadableConfiguration() {
    registry.offer(new byte[] {3}, "platform");
    registry.offer(new byte[] {UNREADABLE}, "platform");

    assertThat(registry.current().map(Deployment::revision)).contains(3L);
  }
}
