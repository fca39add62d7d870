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

/** Sends prepare, install and withdraw messages to all members, including this box. Thread-safe. */
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
      Membership membership,
      ChangeParticipant participant,
      ConfigurationRegistry registry,
      Duration prepareTimeout) {
    this.peers = peers;
    this.membership = membership;
    this.participant = participant;
    this.registry = registry;
    this.prepareTimeout = prepareTimeout;
  }

  /** Prepares a submission on all members; returns the failures as box name and reason. */
  Mono<List<String>> prepare(Submission submission, MemberSet members) {
    return Flux.fromIterable(members.members().values())
        .flatMap(member -> prepareMember(submission, member), MAX_CONCURRENT_CALLS)
        .sort()
        .collectList();
  }

  /**
   * Withdraws a submission on all connected members; the others detect the refusal when they read
   * the table.
   */
  void withdraw(Submission submission) {
    registry.withdraw(submission.pipeline(), submission.id());
    peers.sendToAll(
        ChangeMessages.WITHDRAW,
        new ChangeMessages.Withdraw(submission.pipeline(), submission.id()));
  }

  /**
   * Installs an accepted version on all members; returns the names of those that installed it.
   *
   * @param timeout how long a prepared member keeps serving without knowing the verdict
   */
  Mono<List<String>> install(SubmissionRecord accepted, MemberSet members, Duration timeout) {
    return Flux.fromIterable(members.members().values())
        .flatMap(member -> installOnMember(accepted, member, timeout), MAX_CONCURRENT_CALLS)
        .sort()
        .collectList();
  }

  private Mono<String> prepareMember(Submission submission, MemberRow member) {
    ChangeMessages.Prepare prepare =
        new ChangeMessages.Prepare(
            member.incarnation(), submission.baseVersion() + 1, submission.id(), submission.text());
    Mono<ChangeMessages.Prepared> response =
        member.boxId().equals(membership.boxId())
            ? Mono.fromSupplier(() -> participant.prepare(prepare))
            : peers.request(
                member.boxId(),
                ChangeMessages.PREPARE,
                prepare,
                ChangeMessages.Prepared.class,
                prepareTimeout);
    return retryUntilTimeout(response, prepareTimeout)
        .flatMap(
            prepared ->
                prepared.prepared()
                    ? Mono.<String>empty()
                    : Mono.just(member.boxId() + " " + prepared.reason()))
        .onErrorResume(e -> Mono.just(member.boxId() + " did not prepare in time"));
  }

  private Mono<String> installOnMember(
      SubmissionRecord accepted, MemberRow member, Duration timeout) {
    if (member.boxId().equals(membership.boxId())) {
      return Mono.just(member.boxId());
    }
    Mono<ChangeMessages.Installed> response =
        peers.request(
            member.boxId(),
            ChangeMessages.INSTALL,
            new ChangeMessages.Install(accepted.pipeline(), accepted.version(), accepted.id()),
            ChangeMessages.Installed.class,
            timeout);
    return retryUntilTimeout(response, timeout)
        .filter(installed -> installed.version() >= accepted.version())
        .map(installed -> member.boxId())
        .onErrorResume(e -> Mono.empty());
  }

  /** Retries while the peer is not connected, within one timeout for all attempts. */
  private static <A> Mono<A> retryUntilTimeout(Mono<A> response, Duration timeout) {
    return response
        .retryWhen(
            Retry.fixedDelay(Long.MAX_VALUE, RETRY_INTERVAL)
                .filter(
                    e -> e instanceof PeerException && !(e.getCause() instanceof TimeoutException)))
        .timeout(timeout);
  }
}
