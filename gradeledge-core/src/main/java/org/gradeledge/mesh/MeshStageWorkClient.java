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
 * Delegates the stage work of a service to its owner, the available box that ranks first for the
 * service ({@link PeerTable#byRank}), so that the owner can batch the pieces of all boxes. Runs the
 * work locally if the owner is lost or rejects it. Confined to the event loop.
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
      MeshConnections connections,
      PeerTable peers,
      BatchCoordinator localCoordinator,
      EventLoop loop,
      PendingPieces pendingPieces) {
    this.self = self;
    this.connections = connections;
    this.peers = peers;
    this.localCoordinator = localCoordinator;
    this.loop = loop;
    this.pendingPieces = pendingPieces;
  }

  /**
   * Delegates the group. A box that is starting waits until it has discovered its peers, as boxes
   * with different views would select different owners, which call the same upstreams.
   */
  @Override
  public void submit(StageGroup group, StageWorkListener listener) {
    if (peers.isDiscoveryComplete()) {
      delegate(group, listener);
      return;
    }
    DelegatedGroup delegatedGroup = delegated.add(group, listener, UNASSIGNED);
    loop.schedule(() -> resubmit(delegatedGroup), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void resubmit(DelegatedGroup delegatedGroup) {
    if (delegated.remove(delegatedGroup)) {
      submit(delegatedGroup.group(), delegatedGroup.listener());
    }
  }

  private void delegate(StageGroup group, StageWorkListener listener) {
    String box = owner(group.service());
    if (box.equals(self)) {
      localCoordinator.submit(group, listener);
      return;
    }
    DelegatedGroup delegatedGroup = delegated.add(group, listener, box);
    connections
        .request(
            box,
            MeshMessages.STAGE_WORK,
            group,
            StageGroupResult.class,
            Duration.ofMillis(Math.max(1, group.remainingMillis())))
        .subscribe(
            result -> loop.execute(() -> onResult(delegatedGroup, result)),
            failure -> loop.execute(() -> runLocally(delegatedGroup)));
  }

  /** Caches the owners, which change only with the set of available boxes. */
  private String owner(String service) {
    Set<String> available = peers.available();
    if (available != ownerCandidates) {
      ownerCandidates = available;
      ownerByService.clear();
    }
    return ownerByService.computeIfAbsent(service, name -> firstRanked(available, name));
  }

  private String firstRanked(Set<String> boxes, String service) {
    return boxes.stream().min(peers.byRank(service)).orElse(self);
  }

  private void onResult(DelegatedGroup delegatedGroup, StageGroupResult result) {
    if (!delegated.remove(delegatedGroup)) {
      localCoordinator.release(result.handles());
      return;
    }
    result.handles().forEach(handle -> boxByHandle.put(handle, result.box()));
    delegatedGroup.listener().onEnd(result);
  }

  private void runLocally(DelegatedGroup delegatedGroup) {
    if (delegated.remove(delegatedGroup)) {
      localCoordinator.submit(delegatedGroup.group(), delegatedGroup.listener());
    }
  }

  /** Notifies the listener that the owner has fetched the inputs of a group. */
  void onInputsTaken(String box, StageInputsTaken message) {
    delegated.ofRequest(message.requestId()).stream()
        .filter(delegatedGroup -> delegatedGroup.box().equals(box))
        .filter(delegatedGroup -> delegatedGroup.group().stage() == message.stage())
        .forEach(delegatedGroup -> delegatedGroup.listener().onInputsFetched());
  }

  /** Runs the groups locally that were delegated to a lost box. */
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

  /** Records the backlogs that a box reports. */
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
        .filter(delegatedGroup -> delegatedGroup.group().service().equals(service))
        .forEach(delegatedGroup -> cancel(delegatedGroup, new StageCancel(service, requestId)));
  }

  private void cancel(DelegatedGroup delegatedGroup, StageCancel message) {
    delegated.remove(delegatedGroup);
    if (!delegatedGroup.box().equals(UNASSIGNED)) {
      connections.send(delegatedGroup.box(), MeshMessages.STAGE_CANCEL, message);
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
