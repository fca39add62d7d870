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
 * Hands the stage work of a service to the box that ranks first for it ({@link PeerTable#byRank})
 * among those that are heard, so that the pieces of all boxes meet. If that box is lost or does not
 * take the work, this box does it itself. Confined to the event loop.
 */
final class MeshStageWorkClient implements StageWorkClient {

  private static final String UNASSIGNED = "";
  private static final long RETRY_DELAY_MILLIS = 50;

  private final String self;
  private final MeshConnections connections;
  private final PeerTable peers;
  private final BatchCoordinator localCoordinator;
  private final EventLoop loop;
  private final PendingPieces pendingPieces;
  private final DelegatedGroups delegated = new DelegatedGroups();
  private final Map<String, String> boxByHandle = new HashMap<>();
  private final Map<String, Map<String, List<Long>>> reportedBacklogs = new HashMap<>();
  private final Map<String, String> ownerByService = new HashMap<>();
  private Set<String> ownerCandidates = Set.of();

  MeshStageWorkClient(
      String self,
      MeshConnections links,
      PeerTable peers,
      BatchCoordinator local,
      EventLoop loop,
      PendingPieces toCome) {
    this.self = self;
    this.connections = links;
    this.peers = peers;
    this.localCoordinator = local;
    this.loop = loop;
    this.pendingPieces = toCome;
  }

  /**
   * Hands the work on; a box that has just started waits a moment until it knows who else is there,
   * since boxes that choose by different views call the same upstreams.
   */
  @Override
  public void submit(StageGroup group, StageWorkListener listener) {
    if (peers.isDiscoveryComplete()) {
      delegate(group, listener);
      return;
    }
    DelegatedGroup placement = delegated.add(group, listener, UNASSIGNED);
    loop.schedule(() -> resubmit(placement), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void resubmit(DelegatedGroup placement) {
    if (delegated.remove(placement)) {
      submit(placement.group(), placement.listener());
    }
  }

  private void delegate(StageGroup group, StageWorkListener listener) {
    String box = owner(group.service());
    if (box.equals(self)) {
      localCoordinator.submit(group, listener);
      return;
    }
    DelegatedGroup placement = delegated.add(group, listener, box);
    connections
        .request(
            box,
            MeshMessages.STAGE_WORK,
            group,
            StageGroupResult.class,
            Duration.ofMillis(Math.max(1, group.remainingMillis())))
        .subscribe(
            result -> loop.execute(() -> onResult(placement, result)),
            failure -> loop.execute(() -> runLocally(placement)));
  }

  /** Each request asks several times, and the answer changes only where a box comes or goes. */
  private String owner(String service) {
    Set<String> working = peers.available();
    if (working != ownerCandidates) {
      ownerCandidates = working;
      ownerByService.clear();
    }
    return ownerByService.computeIfAbsent(service, name -> firstRanked(working, name));
  }

  private String firstRanked(Set<String> boxes, String service) {
    return boxes.stream().min(peers.byRank(service)).orElse(self);
  }

  private void onResult(DelegatedGroup placement, StageGroupResult result) {
    if (!delegated.remove(placement)) {
      localCoordinator.release(result.handles());
      return;
    }
    result.handles().forEach(handle -> boxByHandle.put(handle, result.box()));
    placement.listener().onEnd(result);
  }

  private void runLocally(DelegatedGroup placement) {
    if (delegated.remove(placement)) {
      localCoordinator.submit(placement.group(), placement.listener());
    }
  }

  /** Hears from a box that works on a group that its inputs have been fetched. */
  void onInputsTaken(String box, StageInputsTaken message) {
    delegated.ofRequest(message.requestId()).stream()
        .filter(placement -> placement.box().equals(box))
        .filter(placement -> placement.group().stage() == message.stage())
        .forEach(placement -> placement.listener().onInputsFetched());
  }

  /** Does the work itself that a box had which is not heard any more. */
  void onBoxLost(String box) {
    reportedBacklogs.remove(box);
    delegated.ofBox(box).forEach(this::runLocally);
  }

  @Override
  public long backlogMillis(String service, int priority) {
    String box = owner(service);
    if (box.equals(self)) {
      return localCoordinator.backlogMillisOf(service, priority);
    }
    List<Long> byPriority =
        reportedBacklogs.getOrDefault(box, Map.of()).getOrDefault(service, List.of());
    return byPriority.isEmpty() ? 0 : byPriority.get(Math.min(priority, byPriority.size() - 1));
  }

  /** Takes in what a box tells of the work that waits at it. */
  void updateBacklogs(String box, Map<String, List<Long>> backlogMillis) {
    reportedBacklogs.put(box, backlogMillis);
  }

  @Override
  public void announce(String service, int priority, int pieces) {
    pendingPieces.add(service, priority, pieces);
  }

  @Override
  public void withdraw(String service, int priority, int pieces) {
    pendingPieces.remove(service, priority, pieces);
  }

  @Override
  public Optional<String> zoneOf(String handle) {
    return localCoordinator.zoneOf(handle);
  }

  @Override
  public void cancel(String service, String requestId) {
    localCoordinator.cancel(service, requestId);
    delegated.ofRequest(requestId).stream()
        .filter(placement -> placement.group().service().equals(service))
        .forEach(placement -> cancel(placement, new StageCancel(service, requestId)));
  }

  private void cancel(DelegatedGroup placement, StageCancel message) {
    delegated.remove(placement);
    if (!placement.box().equals(UNASSIGNED)) {
      connections.send(placement.box(), MeshMessages.STAGE_CANCEL, message);
    }
  }

  @Override
  public void release(String service, List<String> handles) {
    Map<String, List<String>> byBox =
        handles.stream()
            .collect(Collectors.groupingBy(handle -> boxByHandle.getOrDefault(handle, self)));
    handles.forEach(boxByHandle::remove);
    byBox.forEach(this::freeAt);
  }

  private void freeAt(String box, List<String> handles) {
    if (box.equals(self) || !peers.isAlive(box)) {
      localCoordinator.release(handles);
    } else {
      connections.send(box, MeshMessages.STAGE_FREE, new StageFree(handles));
    }
  }
}
