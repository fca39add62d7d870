package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Enough boxes that heartbeats are relayed, over real connections in one process. */
@Timeout(120)
class RelayedMeshTests {

  private static final int BOXES = 18;

  /** Half of the connection ends that a full mesh has. */
  private static final int MAX_CONNECTION_ENDS = BOXES * BOXES / 2;

  private final InProcessBoxes boxes = new InProcessBoxes();

  @AfterEach
  void stop() {
    boxes.close();
  }

  @Test
  void boxesWithOneSeedDiscoverAllOthers() throws Exception {
    boxes.startBoxes(BOXES);
    boxes.await(() -> boxes.meshes().stream().allMatch(mesh -> mesh.aliveCount() == BOXES));
    boxes.awaitCompleteViews(BOXES);

    assertThat(
            boxes.onLoop(
                () -> boxes.meshes().stream().filter(mesh -> mesh.isAssigned("duty", 6)).count()))
        .isEqualTo(6);
  }

  @Test
  void aBoxThatStartsLaterDiscoversAllOthers() throws Exception {
    boxes.startBoxes(BOXES);
    boxes.await(() -> boxes.meshes().stream().allMatch(BoxMesh::receivesDigests));

    boxes.startBox();

    boxes.await(() -> boxes.meshes().stream().allMatch(mesh -> mesh.aliveCount() == BOXES + 1));
  }

  @Test
  void closesConnectionsThatHeartbeatsDoNotRequire() throws Exception {
    boxes.startBoxes(BOXES);
    boxes.await(() -> boxes.meshes().stream().allMatch(mesh -> mesh.aliveCount() == BOXES));

    boxes.await(
        () ->
            boxes.networks().stream().mapToInt(each -> each.connectedIds().size()).sum()
                < MAX_CONNECTION_ENDS);

    assertThat(
            boxes.onLoop(
                () -> boxes.meshes().stream().allMatch(mesh -> mesh.aliveCount() == BOXES)))
        .isTrue();
  }

  @Test
  void otherBoxesReconnectToARestartedBoxWithoutSeeds() throws Exception {
    boxes.startBoxes(BOXES);
    boxes.await(() -> boxes.meshes().stream().allMatch(BoxMesh::receivesDigests));
    String restarted = boxes.address(BOXES - 1);
    boxes.stopBox(BOXES - 1);
    boxes.await(() -> boxes.meshes().stream().allMatch(mesh -> mesh.aliveCount() == BOXES - 1));

    boxes.startBox(restarted, List.of());

    boxes.await(() -> boxes.meshes().stream().allMatch(mesh -> mesh.aliveCount() == BOXES));
  }
}
