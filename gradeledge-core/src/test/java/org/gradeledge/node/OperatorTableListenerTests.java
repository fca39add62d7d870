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
import org.gradeledge.deployment.Deployments;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.discovery.ZoneEvacuations;
import org.gradeledge.event.EventLogs;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableRevision;
import org.gradeledge.follow.TableRow;
import org.junit.jupiter.api.Test;

class OperatorTableListenerTests {

  private static final byte[] NOTHING = {};

  /** Keys are {@code document} and {@code empty:ZONE}. */
  private static final class Orders implements OperatorOrderReader {

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
  private final List<String> told = new ArrayList<>();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final DeploymentRegistry deployments =
      new DeploymentRegistry(
          document -> {
            readDocuments.add((int) document[0]);
            return Either.right(Deployments.of(document[0]));
          },
          EventLogs.silent());
  private final OperatorTableListener listener =
      new OperatorTableListener(
          new Orders(), deployments, upstreams, channel.eventLoop(), () -> told.add("told"));

  private static final long COPY = TableRevision.of(1, 4);

  @Test
  void anOrderThatAnOlderCopyLacksHoldsUntilItIsWrittenAgain() {
    channel.freezeTime();
    listener.onContent(new TableContent(7, List.of(document(3), zone("east"))));

    comeBack(document(3));
    pass(1_900);
    assertThat(upstreams.evacuations().zones()).containsExactly("east");
    listener.onChanges(new TableChanges(COPY + 1, List.of(zone("east")), List.of()));
    pass(200);

    assertThat(upstreams.evacuations()).isEqualTo(new ZoneEvacuations(COPY + 1, Set.of("east")));
  }

  @Test
  void oneThatWasLiftedSinceTheCopyWasTakenStaysLifted() {
    channel.freezeTime();
    listener.onContent(new TableContent(7, List.of(document(3))));

    comeBack(document(3), zone("east"));
    assertThat(upstreams.evacuations().zones()).isEmpty();
    listener.onChanges(new TableChanges(COPY + 1, List.of(), List.of("empty:east")));
    pass(2_100);

    assertThat(upstreams.evacuations().zones()).isEmpty();
  }

  @Test
  void whatIsOrderedAfterADrillHoldsAtOnceThoughItsVersionIsLower() {
    channel.freezeTime();
    listener.onContent(new TableContent(700, List.of(document(3), zone("east"))));

    comeBack(document(3));
    listener.onChanges(new TableChanges(COPY + 1, List.of(zone("west")), List.of()));

    assertThat(upstreams.evacuations().zones()).containsExactly("east", "west");
  }

  @Test
  void whatIsNotWrittenAgainByThenIsAsTheTableSays() {
    channel.freezeTime();
    listener.onContent(new TableContent(7, List.of(document(3), zone("east"))));

    comeBack(document(3), zone("west"));
    pass(2_100);

    assertThat(upstreams.evacuations()).isEqualTo(new ZoneEvacuations(COPY, Set.of("west")));
    listener.onChanges(new TableChanges(COPY + 1, List.of(), List.of("empty:west")));
    assertThat(upstreams.evacuations().zones()).isEmpty();
  }

  private void comeBack(TableRow... rows) {
    listener.onBackupRestored();
    listener.onContent(new TableContent(COPY, List.of(rows)));
  }

  private void pass(long millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runPendingTasks();
  }

  @Test
  void anEvacuationIsReadBesideTheConfiguration() {
    listener.onContent(new TableContent(7, List.of(document(3), zone("east"))));

    assertThat(upstreams.evacuations()).isEqualTo(new ZoneEvacuations(7, Set.of("east")));
    assertThat(deployments.revision()).isEqualTo(3);
    assertThat(readDocuments).containsExactly(3);
    assertThat(told).hasSize(1);
  }

  @Test
  void zonesComeAndGoOneByOne() {
    listener.onContent(new TableContent(7, List.of(document(3))));
    listener.onChanges(new TableChanges(8, List.of(zone("east")), List.of()));
    listener.onChanges(new TableChanges(9, List.of(zone("west")), List.of()));
    assertThat(upstreams.evacuations().zones()).containsExactlyInAnyOrder("east", "west");

    listener.onChanges(new TableChanges(10, List.of(), List.of("empty:east")));

    assertThat(upstreams.evacuations()).isEqualTo(new ZoneEvacuations(10, Set.of("west")));
    assertThat(told).hasSize(3);
  }

  @Test
  void aConfigurationAloneTellsNobodyOfEvacuations() {
    listener.onContent(new TableContent(7, List.of(zone("east"))));
    told.clear();

    listener.onChanges(new TableChanges(9, List.of(document(4)), List.of()));

    assertThat(told).isEmpty();
    assertThat(upstreams.evacuations().zones()).containsExactly("east");
  }

  @Test
  void whatIsReadAnewAfterLostHistoryReplacesAllThatWasKnown() {
    listener.onContent(new TableContent(7, List.of(zone("east"))));

    listener.onContent(new TableContent(30, List.of(document(3))));

    assertThat(upstreams.evacuations()).isEqualTo(new ZoneEvacuations(30, Set.of()));
  }

  @Test
  void anOlderReadingDoesNotUndoWhatAnotherBoxTold() {
    upstreams.applyEvacuations(new ZoneEvacuations(20, Set.of("east")));

    listener.onContent(new TableContent(7, List.of(document(3))));

    assertThat(upstreams.evacuations().zones()).containsExactly("east");
  }

  private static TableRow document(int revision) {
    return new TableRow("document", new byte[] {(byte) revision});
  }

  private static TableRow zone(String zone) {
    return new TableRow("empty:" + zone, NOTHING);
  }
}
