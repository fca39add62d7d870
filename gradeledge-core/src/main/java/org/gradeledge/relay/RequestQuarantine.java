package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gradeledge.connection.LivenessResult;
import org.gradeledge.deployment.ClientAccount;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.quarantine.PromptPartIdentity;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.RequestIdentity;

/**
 * Connects one request with the {@link Quarantine}: checks whether the request, or a shared part of
 * its prompt, is quarantined, and reports crashes and answers. Confined to the event loop.
 */
final class RequestQuarantine {

  private static final String NO_ACCOUNT = "";
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * Number of reads of events after which the answer counts as begun; an upstream may crash while
   * it sends the first ones.
   */
  private static final int READS_OF_BEGUN_ANSWER = 2;

  /** Retry delay if no further trial is due and only an operator can lift the verdict. */
  private static final Duration RETRY_AFTER_WITHOUT_TRIAL = Duration.ofHours(1);

  private final RelayServices services;
  private final Quarantine quarantine;
  private final AdmittedRequest admitted;
  private final SuspectKey requestKey;

  /** The shared parts of the prompt, narrowest first; empty until there are suspects. */
  private List<SuspectKey> partKeys = List.of();

  /** Whether this request is a granted trial of a quarantined request or part. */
  private boolean trial;

  RequestQuarantine(RelayServices services, AdmittedRequest admitted) {
    this.services = services;
    this.quarantine = services.quarantine();
    this.admitted = admitted;
    this.requestKey = new SuspectKey(quarantine, identity(admitted));
  }

  /** Returns whether the request must not be sent to any upstream. */
  boolean isQuarantined() {
    return !trial && quarantinedKeys().findAny().isPresent();
  }

  /** Returns the quarantined part of the prompt, if that is why the request must not be sent. */
  Optional<String> quarantinedPartId() {
    return quarantinedKeys()
        .map(SuspectKey::identity)
        .filter(PromptPartIdentity.class::isInstance)
        .map(identity -> ((PromptPartIdentity) identity).id())
        .findFirst();
  }

  /** Returns the reason for which the request is refused. */
  Refusal refusal() {
    return quarantinedPartId().isPresent() ? Refusal.PROMPT_PART_QUARANTINED : Refusal.QUARANTINED;
  }

  private Stream<SuspectKey> quarantinedKeys() {
    return quarantine.hasSuspects() ? keys().filter(SuspectKey::isQuarantined) : Stream.empty();
  }

  private Stream<SuspectKey> keys() {
    return Stream.concat(Stream.of(requestKey), partKeys().stream());
  }

  private List<SuspectKey> partKeys() {
    List<String> parts = admitted.request().sharedPartIds();
    if (partKeys.isEmpty() && !parts.isEmpty()) {
      partKeys =
          IntStream.rangeClosed(1, parts.size())
              .mapToObj(
                  breadth -> new PromptPartIdentity(parts.get(parts.size() - breadth), breadth))
              .map(identity -> new SuspectKey(quarantine, identity))
              .toList();
    }
    return partKeys;
  }

  /**
   * Checks whether the request may run. If it is quarantined and a trial is due, requests the trial
   * from the platform, which grants it to one box.
   */
  void checkMayRun(Consumer<Boolean> listener) {
    List<SuspectKey> quarantined = quarantinedKeys().toList();
    if (quarantined.isEmpty()) {
      listener.accept(true);
    } else if (quarantined.size() == 1 && untilTrial().filter(Duration::isZero).isPresent()) {
      requestTrial(quarantined.get(0), listener);
    } else {
      listener.accept(false);
    }
  }

  private void requestTrial(SuspectKey key, Consumer<Boolean> listener) {
    EventLoop loop = services.eventLoop();
    services
        .trials()
        .claim(key.fingerprint())
        .onErrorReturn(false)
        .defaultIfEmpty(false)
        .subscribe(
            granted ->
                loop.execute(
                    () -> {
                      trial = granted;
                      listener.accept(granted);
                    }));
  }

  /** Records that the request was sent, which ends its trial. */
  void recordSent() {
    trial = false;
  }

  /** Returns the remaining time of the quarantine in milliseconds. */
  long remainingMillis() {
    return untilTrial().orElse(RETRY_AFTER_WITHOUT_TRIAL).toMillis();
  }

  private Optional<Duration> untilTrial() {
    return quarantinedKeys()
        .findFirst()
        .flatMap(key -> services.trials().timeUntilNext(key.fingerprint()));
  }

  /**
   * Records that the request was answered completely. An upstream that failed may not have got as
   * far as the point at which others crash.
   */
  void recordAnswered(int status) {
    if (status < FIRST_SERVER_ERROR) {
      requestKey.recordSuccess();
    }
    if (status >= FIRST_SUCCESS && status < FIRST_REDIRECT) {
      recordBegunAnswer();
    }
  }

  /** Records events of an answer, which clear the parts of the prompt once the answer has begun. */
  void recordEvents(Attempt attempt) {
    if (attempt.eventReads() == READS_OF_BEGUN_ANSWER) {
      recordBegunAnswer();
    }
  }

  private void recordBegunAnswer() {
    if (quarantine.hasSuspects()) {
      partKeys().forEach(SuspectKey::recordSuccess);
    }
  }

  /**
   * Starts a liveness check of an upstream whose connection was lost. Continues at once, unless
   * upstreams have crashed while serving the request, or others with the same part, before: then it
   * continues after the check, because one more crash may quarantine it.
   */
  void connectionLost(Attempt attempt, Runnable continuation) {
    boolean suspect = quarantine.hasSuspects() && keys().anyMatch(SuspectKey::isSuspect);
    services
        .livenessChecker()
        .check(
            attempt.upstream(),
            result -> {
              recordLivenessCheck(attempt, result);
              if (suspect) {
                continuation.run();
              }
            });
    if (!suspect) {
      continuation.run();
    }
  }

  /**
   * Records the result of a liveness check. Only a refused connection counts as a crash, since
   * silence may be a network partition.
   */
  private void recordLivenessCheck(Attempt attempt, LivenessResult result) {
    UpstreamRecord upstream = attempt.upstream();
    services
        .events()
        .problem("upstream-broke-off")
        .with("fingerprint", requestKey.fingerprint().toString())
        .with("request", admitted.request().id())
        .with("upstream", upstream.incarnationId())
        .with("service", upstream.service())
        .with("parts", String.join(",", admitted.request().sharedPartIds()))
        .with("events", attempt.eventReads())
        .with("proof", result.name())
        .write();
    if (result == LivenessResult.REFUSED) {
      requestKey.recordCrash(upstream.incarnationId());
      if (attempt.eventReads() < READS_OF_BEGUN_ANSWER) {
        partKeys().forEach(key -> key.recordCrash(upstream.incarnationId()));
      }
    }
  }

  /** Records that upstreams crashed while processing a stage of the request. */
  void recordStageCrashes(List<String> incarnations) {
    incarnations.forEach(requestKey::recordCrash);
  }

  private static RequestIdentity identity(AdmittedRequest admitted) {
    RelayRequest request = admitted.request();
    return new RequestIdentity(
        admitted.account().map(ClientAccount::name).orElse(NO_ACCOUNT),
        request.method().name(),
        admitted.route().host(),
        request.uri(),
        request.body());
  }
}
