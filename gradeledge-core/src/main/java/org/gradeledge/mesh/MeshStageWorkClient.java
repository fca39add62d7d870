package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.gradeledge.batch.BatchCoordinator;
import org.gradeledge.batch.PendingPieces;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.batch.StageWorkListener;

/**
 * Hands the stage work of a service to the box that ranks first for it ({@link PeerBoard#byRank})
 * among those that are heard, so that the pieces of all boxes meet. If that box is lost or does not
 * take the work, this box does it itself. Confined to the event loop.
 */
final class MeshStageWorkClient implements StageWorkClient {

  private static final String NO_BOX_YET = "";
  private static final long LOOK_AGAIN_MILLIS = 50;

  private final String self;
  private final MeshLinks links;
  private final PeerBoard peers;
  private final BatchCoordinator local;
  private final EventLoop loop;
  private final PendingPieces toCome;
  private final PlacedGroups placed = new PlacedGroups();
  private final Map<String, String> makers = new HashMap<>();
  private final Map<String, Map<String, List<Long>>> toldBacklogs = new HashMap<>();
  private final Map<String, String> coordinators = new HashMap<>();
  private Set<String> coordinatorsAmong = Set.of();

  MeshStageWorkClient(
      String self,
      MeshLinks links,
      PeerBoard peers,
      BatchCoordinator local,
      EventLoop loop,
      PendingPieces toCome) {
    this.self = self;
    this.links = links;
    this.peers = peers;
    this.local = local;
    this.loop = loop;
    this.toCome = toCome;
  }

  /**
   * Hands the work on; a box that has just started waits a moment until it knows who else is there,
   * since boxes that choose by different views call the same upstreams.
   */
  @Override
  public void submit(StageGroup group, StageWorkListener listener) {
    if (peers.settled()) {
      place(group, listener);
      return;
    }
    PlacedGroup placement = placed.add(group, listener, NO_BOX_YET);
    loop.schedule(() -> submitAgain(placement), LOOK_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void submitAgain(PlacedGroup placement) {
    if (placed.remove(placement)) {
      submit(placement.group(), placement.listener());
    }
  }

  private void place(StageGroup group, StageWorkListener listener) {
    String box = coordinator(group.service());
    if (box.equals(self)) {
      local.submit(group, listener);
      return;
    }
    PlacedGroup placement = placed.add(group, listener, box);
    links
        .ask(
            box,
            MeshMessages.STAGE_WORK,
            group,
            StageGroupResult.class,
            Duration.ofMillis(Math.max(1, group.remainingMillis())))
        .subscribe(
            result -> loop.execute(() -> answered(placement, result)),
            failure -> loop.execute(() -> takeOver(placement)));
  }

  /** Each request asks several times, and the answer changes only where a box comes or goes. */
  private String coordinator(String service) {
    Set<String> working = peers.working();
    if (working != coordinatorsAmong) {
      coordinatorsAmong = working;
      coordinators.clear();
    }
    return coordinators.computeIfAbsent(service, name -> firstOf(working, name));
  }

  private String firstOf(Set<String> boxes, String service) {
    return boxes.stream().min(peers.byRank(service)).orElse(self);
  }

  private void answered(PlacedGroup placement, StageGroupResult result) {
    if (!placed.remove(placement)) {
      local.release(result.handles());
      return;
    }
    result.handles().forEach(handle -> makers.put(handle, result.box()));
    placement.listener().onEnd(result);
  }

  private void takeOver(PlacedGroup placement) {
    if (placed.remove(placement)) {
      local.submit(placement.group(), placement.listener());
    }
  }

  /** Hears from a box that works on a group that its inputs have been fetched. */
  void inputsTaken(String box, StageInputsTaken message) {
    placed.ofRequest(message.requestId()).stream()
        .filter(placement -> placement.box().equals(box))
        .filter(placement -> placement.group().stage() == message.stage())
        .forEach(placement -> placement.listener().onInputsFetched());
  }

  /** Does the work itself that a box had which is not heard any more. */
  void lost(String box) {
    toldBacklogs.remove(box);
    placed.ofBox(box).forEach(this::takeOver);
  }

  @Override
  public long backlogMillis(String service, int priority) {
    String box = coordinator(service);
    if (box.equals(self)) {
      return local.backlogMillisOf(service, priority);
    }
    List<Long> byPriority =
        toldBacklogs.getOrDefault(box, Map.of()).getOrDefault(service, List.of());
    return byPriority.isEmpty() ? 0 : byPriority.get(Math.min(priority, byPriority.size() - 1));
  }

  /** Takes in what a box tells of the work that waits at it. */
  void heardBacklogs(String box, Map<String, List<Long>> backlogMillis) {
    toldBacklogs.put(box, backlogMillis);
  }

  @Override
  public void announce(String service, int priority, int pieces) {
    toCome.add(service, priority, pieces);
  }

  @Override
  public void withdraw(String service, int priority, int pieces) {
    toCome.remove(service, priority, pieces);
  }

  @Override
  public Optional<String> zoneOf(String handle) {
    return local.zoneOf(handle);
  }

  @Override
  public void cancel(String service, String requestId) {
    local.cancel(service, requestId);
    placed.ofRequest(requestId).stream()
        .filter(placement -> placement.group().service().equals(service))
        .forEach(placement -> cancel(placement, new StageCancel(service, requestId)));
  }

  private void cancel(PlacedGroup placement, StageCancel message) {
    placed.remove(placement);
    if (!placement.box().equals(NO_BOX_YET)) {
      links.tell(placement.box(), MeshMessages.STAGE_CANCEL, message);
    }
  }

  @Override
  public void release(String service, List<String> handles) {
    Map<String, List<String>> byBox =
        handles.stream()
            .collect(Collectors.groupingBy(handle -> makers.getOrDefault(handle, self)));
    handles.forEach(makers::remove);
    byBox.forEach(this::freeAt);
  }

  private void freeAt(String box, List<String> handles) {
    if (box.equals(self) || !peers.isAlive(box)) {
      local.release(handles);
    } else {
      links.tell(box, MeshMessages.STAGE_FREE, new StageFree(handles));
    }
  }
}
