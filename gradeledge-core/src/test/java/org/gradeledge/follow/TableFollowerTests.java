package org.gradeledge.follow;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gradeledge.event.EventLogs;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

class TableFollowerTests {

  private final EventLoop loop = new DefaultEventLoop();
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private static final Duration MAX_WAIT = Duration.ofSeconds(10);

  /** Key of a row on which the listener fails. */
  private static final String FAILING_KEY = "poison";

  @Test
  void readsTheWholeTableOnceThenItsChanges() throws Exception {
    ScriptedTable table = new ScriptedTable();
    table.reads.add(Mono.just(new TableContent(4, List.of(row("a")))));
    table.changes.add(Mono.just(new TableChanges(6, List.of(row("b")), List.of("a"))));

    follow(table);

    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("content 4 [a]");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("changes 6 [b] [a]");
    assertThat(table.requestedRevisions.poll(5, TimeUnit.SECONDS)).isEqualTo(4);
    assertThat(table.requestedRevisions.poll(5, TimeUnit.SECONDS)).isEqualTo(6);
  }

  @Test
  void readsTheWholeTableAfterLostHistory() throws Exception {
    ScriptedTable table = new ScriptedTable();
    table.reads.add(Mono.just(new TableContent(4, List.of())));
    table.changes.add(Mono.error(new HistoryLostException("forgotten")));
    table.reads.add(Mono.just(new TableContent(9, List.of(row("c")))));

    follow(table);

    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("content 4 []");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("content 9 [c]");
  }

  // Guards against late configurations because a box waits although the table has answered.
  @Test
  void readsTheTableWithoutBackoffAfterLostHistory() {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.freezeTime();
    ScriptedTable table = new ScriptedTable();
    table.reads.add(Mono.just(new TableContent(4, List.of())));
    table.changes.add(Mono.error(new HistoryLostException("forgotten")));
    table.reads.add(Mono.just(new TableContent(9, List.of(row("c")))));
    follow(table, channel.eventLoop());
    runAllDueTasks(channel);
    channel.advanceTimeBy(40, TimeUnit.MILLISECONDS);
    runAllDueTasks(channel);
    assertThat(events).containsExactly("content 4 []", "content 9 [c]");
  }

  @Test
  void continuesFromItsRevisionAfterAnOutage() throws Exception {
    ScriptedTable table = new ScriptedTable();
    table.reads.add(Mono.error(new IOException("down")));
    table.reads.add(Mono.just(new TableContent(4, List.of())));
    table.changes.add(Mono.error(new IOException("down")));
    table.changes.add(Mono.just(new TableChanges(5, List.of(row("d")), List.of())));

    follow(table);

    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("unavailable");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("available again");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("content 4 []");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("unavailable");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("available again");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("changes 5 [d] []");
  }

  @Test
  void treatsAnEmptyAnswerAsFailure() throws Exception {
    ScriptedTable table = new ScriptedTable();
    table.reads.add(Mono.empty());
    table.reads.add(Mono.just(new TableContent(4, List.of())));
    table.changes.add(Mono.empty());
    table.changes.add(Mono.just(new TableChanges(5, List.of(row("d")), List.of())));

    follow(table);

    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("unavailable");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("available again");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("content 4 []");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("unavailable");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("available again");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("changes 5 [d] []");
  }

  @Test
  void reportsEachOutageOnceEvenOfASingleCall() throws Exception {
    ScriptedTable table = new ScriptedTable();
    table.reads.add(Mono.just(new TableContent(4, List.of())));
    table.changes.add(Mono.error(new IOException("down")));
    table.changes.add(Mono.just(new TableChanges(5, List.of(row("d")), List.of())));
    table.changes.add(Mono.error(new IOException("down")));
    table.changes.add(Mono.error(new IOException("down")));
    table.changes.add(Mono.error(new IOException("down")));
    table.changes.add(Mono.just(new TableChanges(6, List.of(), List.of("d"))));

    follow(table);

    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("content 4 []");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("unavailable");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("available again");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("changes 5 [d] []");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("unavailable");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("available again");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("changes 6 [] [d]");
  }

  @Test
  void lostHistoryIsNotReportedAsOutage() throws Exception {
    ScriptedTable table = new ScriptedTable();
    table.reads.add(Mono.just(new TableContent(4, List.of())));
    table.changes.add(Mono.error(new HistoryLostException("forgotten")));
    table.reads.add(Mono.just(new TableContent(9, List.of())));

    follow(table);

    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("content 4 []");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("content 9 []");
  }

  @Test
  void readsTheWholeTableAfterTheListenerFails() throws Exception {
    ScriptedTable table = new ScriptedTable();
    table.reads.add(Mono.just(new TableContent(4, List.of())));
    table.changes.add(Mono.just(new TableChanges(5, List.of(row(FAILING_KEY)), List.of())));
    table.reads.add(Mono.just(new TableContent(6, List.of(row("e")))));

    follow(table);

    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("content 4 []");
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("content 6 [e]");
  }

  @Test
  void doesNotWaitForChangesWhileTheTableIsUnavailable() throws Exception {
    ScriptedTable table = new ScriptedTable();
    table.reads.add(Mono.just(new TableContent(4, List.of())));
    table.changes.add(Mono.error(new IOException("down")));
    table.changes.add(Mono.error(new IOException("down")));
    table.changes.add(Mono.just(new TableChanges(5, List.of(row("d")), List.of())));

    follow(table);

    assertThat(table.requestedWaits.poll(5, TimeUnit.SECONDS)).isEqualTo(MAX_WAIT);
    assertThat(table.requestedWaits.poll(5, TimeUnit.SECONDS)).isZero();
    assertThat(table.requestedWaits.poll(5, TimeUnit.SECONDS)).isZero();
    assertThat(table.requestedWaits.poll(5, TimeUnit.SECONDS)).isEqualTo(MAX_WAIT);
  }

  /**
   * The timer of a call in flight does not run while the machine is suspended, and its connection
   * may be lost.
   */
  @Test
  void replacesACallInFlightAfterASuspension() throws Exception {
    ScriptedTable table = new ScriptedTable();
    table.reads.add(Mono.just(new TableContent(4, List.of())));
    table.changes.add(Mono.never());
    table.changes.add(Mono.just(new TableChanges(5, List.of(row("d")), List.of())));
    TableFollower follower = follow(table);
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("content 4 []");
    assertThat(table.requestedRevisions.poll(5, TimeUnit.SECONDS)).isEqualTo(4);

    loop.execute(follower::onMachineResume);

    assertThat(table.requestedRevisions.poll(5, TimeUnit.SECONDS)).isEqualTo(4);
    assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("changes 5 [d] []");
  }

  private static void runAllDueTasks(EmbeddedChannel channel) {
    for (int round = 0; round < 10; round++) {
      channel.runPendingTasks();
    }
  }

  private TableFollower follow(ScriptedTable table) {
    return follow(table, loop);
  }

  private TableFollower follow(ScriptedTable table, EventLoop followerLoop) {
    TableFollower follower =
        new TableFollower(
            "test",
            table,
            new RecordingListener(),
            followerLoop,
            MonotonicClock.system(),
            EventLogs.silent(),
            new PollingIntervals(
                () -> MAX_WAIT, () -> Duration.ZERO, () -> Duration.ofMillis(300)));
    followerLoop.execute(follower::start);
    return follower;
  }

  private static TableRow row(String key) {
    return new TableRow(key, new byte[0]);
  }

  private final class RecordingListener implements TableListener {

    @Override
    public void onContent(TableContent content) {
      events.add("content " + content.revision() + " " + keys(content.rows()));
    }

    @Override
    public void onChanges(TableChanges changes) {
      if (keys(changes.put()).contains(FAILING_KEY)) {
        throw new IllegalStateException("listener failure");
      }
      events.add(
          "changes " + changes.revision() + " " + keys(changes.put()) + " " + changes.removed());
    }

    @Override
    public void onUnavailable() {
      events.add("unavailable");
    }

    @Override
    public void onAvailableAgain() {
      events.add("available again");
    }

    private List<String> keys(List<TableRow> rows) {
      return rows.stream().map(TableRow::key).toList();
    }
  }

  /** Returns the scripted answers in order, and does not answer further calls. */
  private static final class ScriptedTable implements RevisionedTable {

    private final Queue<Mono<TableContent>> reads = new ArrayDeque<>();
    private final Queue<Mono<TableChanges>> changes = new ArrayDeque<>();
    private final BlockingQueue<Long> requestedRevisions = new LinkedBlockingQueue<>();
    private final BlockingQueue<Duration> requestedWaits = new LinkedBlockingQueue<>();

    @Override
    public Mono<TableContent> read() {
      return reads.isEmpty() ? Mono.never() : reads.remove();
    }

    @Override
    public Mono<TableChanges> changes(long afterRevision, Duration maxWait) {
      requestedRevisions.add(afterRevision);
      requestedWaits.add(maxWait);
      return changes.isEmpty() ? Mono.never() : changes.remove();
    }
  }
}
