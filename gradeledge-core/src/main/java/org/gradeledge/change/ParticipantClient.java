package org.gradeledge.change;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeoutException;
import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.membership.MemberRow;
import org.gradeledge.membership.MemberSet;
import org.gradeledge.membership.Membership;
import org.gradeledge.peer.PeerException;
import org.gradeledge.peer.PeerNetwork;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/** Speaks with all members on behalf of a submitter, itself included. Thread-safe. */
final class ParticipantClient {

  private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);
  private static final int MAX_CONCURRENT_CALLS = 64;

  private final PeerNetwork peers;
  private final Membership membership;
  private final ChangeParticipant participant;
  private final ConfigurationRegistry registry;
  private final Duration prepareTimeout;

  ParticipantClient(
      PeerNetwork peers,
      Membership self,
      ChangeParticipant participant,
      ConfigurationRegistry registry,
      Duration prepareBound) {
    this.peers = peers;
    this.membership = self;
    this.participant = participant;
    this.registry = registry;
    this.prepareTimeout = prepareBound;
  }

  /** Has all members prepare; returns what kept each of the others from it, by name. */
  Mono<List<String>> prepare(Submission submission, MemberSet members) {
    return Flux.fromIterable(members.members().values())
        .flatMap(member -> prepareMember(submission, member), MAX_CONCURRENT_CALLS)
        .sort()
        .collectList();
  }

  /** Tells all connected members that a submission was refused; the rest learn it by reading. */
  void withdraw(Submission submission) {
    registry.withdraw(submission.pipeline(), submission.id());
    peers.sendToAll(
        ChangeMessages.WITHDRAW,
        new ChangeMessages.Withdraw(submission.pipeline(), submission.id()));
  }

  /**
   * Has all members install; returns those that did, at the latest once the others are in doubt.
   *
   * @param doubtBound how long a member that prepared serves on without knowing the verdict
   */
  Mono<List<String>> install(SubmissionRecord accepted, MemberSet members, Duration doubtBound) {
    return Flux.fromIterable(members.members().values())
        .flatMap(member -> installOnMember(accepted, member, doubtBound), MAX_CONCURRENT_CALLS)
        .sort()
        .collectList();
  }

  private Mono<String> prepareMember(Submission submission, MemberRow member) {
    ChangeMessages.Prepare prepare =
        new ChangeMessages.Prepare(
            member.incarnation(), submission.baseVersion() + 1, submission.id(), submission.text());
    Mono<ChangeMessages.Prepared> answer =
        member.boxId().equals(membership.boxId())
            ? Mono.fromSupplier(() -> participant.prepare(prepare))
            : peers.request(
                member.boxId(),
                ChangeMessages.PREPARE,
                prepare,
                ChangeMessages.Prepared.class,
                prepareTimeout);
    return retryUntilTimeout(answer, prepareTimeout)
        .flatMap(
            prepared ->
                prepared.prepared()
                    ? Mono.<String>empty()
                    : Mono.just(member.boxId() + " " + prepared.reason()))
        .onErrorResume(e -> Mono.just(member.boxId() + " did not prepare in time"));
  }

  private Mono<String> installOnMember(
      SubmissionRecord accepted, MemberRow member, Duration doubtBound) {
    if (member.boxId().equals(membership.boxId())) {
      return Mono.just(member.boxId());
    }
    Mono<ChangeMessages.Installed> answer =
        peers.request(
            member.boxId(),
            ChangeMessages.INSTALL,
            new ChangeMessages.Install(accepted.pipeline(), accepted.version(), accepted.id()),
            ChangeMessages.Installed.class,
            doubtBound);
    return retryUntilTimeout(answer, doubtBound)
        .filter(installed -> installed.version() >= accepted.version())
        .map(installed -> member.boxId())
        .onErrorResume(e -> Mono.empty());
  }

  /** Asks again while the peer is not connected, until the bound has passed in all. */
  private static <A> Mono<A> retryUntilTimeout(Mono<A> answer, Duration bound) {
    return answer
        .retryWhen(
            Retry.fixedDelay(Long.MAX_VALUE, RETRY_INTERVAL)
                .filter(
                    e -> e instanceof PeerException && !(e.getCause() instanceof TimeoutException)))
        .timeout(bound);
  }
}
