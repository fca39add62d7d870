package org.gradeledge.synchronization;

import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.gradeledge.change.ChangeHeads;
import org.gradeledge.change.ChangeService;
import org.gradeledge.configuration.PipelineVersion;
import org.gradeledge.membership.MemberRow;
import org.gradeledge.membership.MemberSet;
import org.gradeledge.membership.Membership;
import org.gradeledge.membership.MembershipService;
import org.gradeledge.membership.UnlistedMemberTracker;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.platform.BoxList;
import org.gradeledge.platform.BoxState;
import org.gradeledge.platform.ListedBox;
import org.gradeledge.platform.TableRow;
import org.gradeledge.platform.TableService;
import org.gradeledge.routing.UpstreamDirectory;
import org.gradeledge.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * One round of reading the platform: versions and members from the table, live and leaving boxes
 * from the list. Rounds must not overlap.
 *
 * <p>A round costs one read of the table; a second one where the members have changed.
 *
 * @since 0.1
 */
public final class PlatformReader {

  private static final List<String> HEAD_KEY_PREFIXES = List.of("head/");

  private final TableService table;
  private final BoxList boxList;
  private final Membership membership;
  private final MembershipService membershipService;
  private final ChangeService changes;
  private final PeerNetwork peers;
  private final UpstreamDirectory upstreams;
  private final UnlistedMemberTracker goneMembers;
  private final MonotonicClock clock;
  private final Supplier<Mono<Void>> rejoin;

  /**
   * Creates a reader.
   *
   * @param rejoin called where a read shows that this box is no longer a member
   */
  public PlatformReader(
      TableService table,
      BoxList boxList,
      Membership membership,
      ChangeService changes,
      PeerNetwork peers,
      UpstreamDirectory upstreams,
      UnlistedMemberTracker gone,
      MonotonicClock clock,
      Supplier<Mono<Void>> rejoin) {
    this.table = table;
    this.boxList = boxList;
    this.membership = membership;
    this.membershipService = new MembershipService(table);
    this.changes = changes;
    this.peers = peers;
    this.upstreams = upstreams;
    this.goneMembers = gone;
    this.clock = clock;
    this.rejoin = rejoin;
  }

  /** Reads the table, takes on what it says, then counts it as a confirmation. */
  public Mono<Void> readTable() {
    return Mono.defer(
        () -> {
          long startNanos = clock.nanos();
          long incarnation = membership.incarnation();
          List<PipelineVersion> open = changes.verdictApplier().preparedBeforeRead();
          return table
              .read(HEAD_KEY_PREFIXES)
              .flatMap(
                  rows ->
                      readMembersIfChanged(rows)
                          .then(applyHeads(ChangeHeads.of(rows), open))
                          .then(confirmOrRejoin(incarnation, startNanos)));
        });
  }

  /** Reads the list; marks and removes members that it no longer shows. */
  public Mono<Void> readList() {
    return boxList
        .list()
        .doOnError(e -> goneMembers.listUnavailable())
        .flatMap(
            boxes -> {
              markLeavingUpstreams(boxes);
              Set<String> listed = boxes.stream().map(ListedBox::id).collect(Collectors.toSet());
              MemberSet members = membership.members();
              goneMembers.observe(members, listed);
              return removeGoneMembers(members);
            });
  }

  private Mono<Void> readMembersIfChanged(List<TableRow> heads) {
    long revision = MemberSet.of(heads).revision();
    if (revision == membership.members().revision()) {
      return Mono.empty();
    }
    return membershipService
        .read()
        .doOnNext(
            members -> {
              membership.update(members);
              connectToMembers();
            })
        .then();
  }

  private Mono<Void> applyHeads(ChangeHeads heads, List<PipelineVersion> open) {
    return changes
        .verdictApplier()
        .apply(heads, open)
        .then(changes.abandonedSubmissionCleaner().refuseExpired(heads));
  }

  private Mono<Void> confirmOrRejoin(long incarnation, long startNanos) {
    return Mono.defer(
        () -> {
          if (membership.members().isActiveMember(membership.boxId(), incarnation)) {
            membership.recordConfirmation(incarnation, startNanos);
            return Mono.empty();
          }
          return rejoin.get();
        });
  }

  private void connectToMembers() {
    if (membership.incarnation() == 0) {
      return;
    }
    peers.setPeers(
        membership.members().members().values().stream()
            .filter(member -> !member.boxId().equals(membership.boxId()))
            .map(MemberRow::address)
            .toList());
  }

  private Mono<Void> removeGoneMembers(MemberSet members) {
    Mono<Void> marking =
        Flux.fromIterable(goneMembers.membersToMark(members))
            .filter(member -> !member.boxId().equals(membership.boxId()))
            .concatMap(member -> membershipService.markRemoving(members, member))
            .then();
    Mono<Void> removing =
        Flux.fromIterable(goneMembers.membersToRemove(members))
            .concatMap(member -> membershipService.delete(members, member.boxId()))
            .then();
    return marking.then(removing);
  }

  private void markLeavingUpstreams(List<ListedBox> boxes) {
    Set<String> leaving =
        boxes.stream()
            .filter(box -> box.state() == BoxState.LEAVING)
            .map(ListedBox::address)
            .collect(Collectors.toSet());
    upstreams
        .all()
        .forEach(
            state -> {
              String address = state.definition().host() + ":" + state.definition().port();
              state.setListedLeaving(leaving.contains(address));
            });
  }
}
