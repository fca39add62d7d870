package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.deployment.TestDeployments;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.discovery.ZoneEvacuations;
import org.gradeledge.event.EventLogs;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableRevision;
import org.gradeledge.follow.TableRow;
import org.junit.jupiter.api.Test;

class OperatorTableListenerTests {

  private static final byte[] EMPTY = {};

  /** Keys are {@code document} and {@code empty:ZONE}. */
  private static final class FakeRowReader implements OperatorRowReader {

    @Override
    public boolean isConfiguration(String key) {
      return key.equals("document");
    }

    @Override
    public Optional<String> evacuatedZone(String key) {
      return key.startsWith("empty:") ? Optional.of(key.substring(6)) : Optional.empty();
    }
  }

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<Integer> readDocuments = new ArrayList<>();
  private final List<String> notifications = new ArrayList<>();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final DeploymentRegistry deployments =
      new DeploymentRegistry(
          document -> {
            readDocuments.add((int) document[0]);
            return Either.right(TestDeployments.of(document[0]));
          },
          EventLogs.silent());
  private final OperatorTableListener listener =
      new OperatorTableListener(
          new FakeRowReader(),
          deployments,
          upstreams,
          channel.eventLoop(),
          () -> notifications.add("told"));

  private static final long BACKUP_REVISION = TableRevision.of(1, 4);

  @Test
  void keepsEvacuationMissingFromBackupUntilRewritten() {
    channel.freezeTime();
    listener.onContent(new TableContent(7, List.of(document(3), zone("east"))));

    restoreBackup(document(3));
    advance(1_900);
    assertThat(upstreams.evacuations().zones()).containsExactly("east");
    listener.onChanges(new TableChanges(BACKUP_REVISION + 1, List.of(zone("east")), List.of()));
    advance(200);

    assertThat(upstreams.evacuations())
        .isEqualTo(new ZoneEvacuations(BACKUP_REVISION + 1, Set.of("east")));
  }

  @Test
  void ignoresEvacuationOfBackupThatHadEnded() {
    channel.freezeTime();
    listener.onContent(new TableContent(7, List.of(document(3))));

    restoreBackup(document(3), zone("east"));
    assertThat(upstreams.evacuations().zones()).isEmpty();
    listener.onChanges(new TableChanges(BACKUP_REVISION + 1, List.of(), List.of("empty:east")));
    advance(2_100);

    assertThat(upstreams.evacuations().zones()).isEmpty();
  }

  @Test
  void appliesNewEvacuationAfterRestoreAtOnce() {
    channel.freezeTime();
    listener.onContent(new TableContent(700, List.of(document(3), zone("east"))));

    restoreBackup(document(3));
    listener.onChanges(new TableChanges(BACKUP_REVISION + 1, List.of(zone("west")), List.of()));

    assertThat(upstreams.evacuations().zones()).containsExactly("east", "west");
  }

  @Test
  void appliesTableContentAfterRewriteTime() {
    channel.freezeTime();
    listener.onContent(new TableContent(7, List.of(document(3), zone("east"))));

    restoreBackup(document(3), zone("west"));
    advance(2_100);

    assertThat(upstreams.evacuations())
        .isEqualTo(new ZoneEvacuations(BACKUP_REVISION, Set.of("west")));
    listener.onChanges(new TableChanges(BACKUP_REVISION + 1, List.of(), List.of("empty:west")));
    assertThat(upstreams.evacuations().zones()).isEmpty();
  }

  private void restoreBackup(TableRow... rows) {
    listener.onBackupRestored();
    listener.onContent(new TableContent(BACKUP_REVISION, List.of(rows)));
  }

  private void advance(long millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runPendingTasks();
  }

  @Test
  void readsEvacuationAndConfiguration() {
    listener.onContent(new TableContent(7, List.of(document(3), zone("east"))));

    assertThat(upstreams.evacuations()).isEqualTo(new ZoneEvacuations(7, Set.of("east")));
    assertThat(deployments.revision()).isEqualTo(3);
    assertThat(readDocuments).containsExactly(3);
    assertThat(notifications).hasSize(1);
  }

  @Test
  void addsAndRemovesZones() {
    listener.onContent(new TableContent(7, List.of(document(3))));
    listener.onChanges(new TableChanges(8, List.of(zone("east")), List.of()));
    listener.onChanges(new TableChanges(9, List.of(zone("west")), List.of()));
    assertThat(upstreams.evacuations().zones()).containsExactlyInAnyOrder("east", "west");

    listener.onChanges(new TableChanges(10, List.of(), List.of("empty:east")));

    assertThat(upstreams.evacuations()).isEqualTo(new ZoneEvacuations(10, Set.of("west")));
    assertThat(notifications).hasSize(3);
  }

  @Test
  void doesNotNotifyWhenOnlyConfigurationChanges() {
    listener.onContent(new TableContent(7, List.of(zone("east"))));
    notifications.clear();

    listener.onChanges(new TableChanges(9, List.of(document(4)), List.of()));

    assertThat(notifications).isEmpty();
    assertThat(upstreams.evacuations().zones()).containsExactly("east");
  }

  @Test
  void replacesEvacuationsOnFullRead() {
    listener.onContent(new TableContent(7, List.of(zone("east"))));

    listener.onContent(new TableContent(30, List.of(document(3))));

    assertThat(upstreams.evacuations()).isEqualTo(new ZoneEvacuations(30, Set.of()));
  }

  @Test
  void ignoresReadOlderThanReportOfAnotherBox() {
    upstreams.applyEvacuations(new ZoneEvacuations(20, Set.of("east")));

    listener.onContent(new TableContent(7, List.of(document(3))));

    assertThat(upstreams.evacuations().zones()).containsExactly("east");
  }

  private static TableRow document(int revision) {
    return new TableRow("document", new byte[] {(byte) revision});
  }

  private static TableRow zone(String zone) {
    return new TableRow("empty:" + zone, EMPTY);
  }
}
