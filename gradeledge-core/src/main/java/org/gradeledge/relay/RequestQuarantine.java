package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gradeledge.connection.LivenessResult;
import org.gradeledge.deployment.ClientAccount;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.RequestFingerprint;
import org.gradeledge.quarantine.RequestIdentity;
import org.jspecify.annotations.Nullable;

/**
 * Connects one request with the {@link Quarantine}: checks whether the request is quarantined and
 * reports crashes and answers. The request body is hashed only if an upstream crashed while serving
 * a request of the same shape. Confined to the event loop.
 */
final class RequestQuarantine {

  private static final String NO_ACCOUNT = "";
  private static final int FIRST_SERVER_ERROR = 500;

  /** Retry delay if no further trial is due and only an operator can lift the verdict. */
  private static final Duration RETRY_AFTER_WITHOUT_TRIAL = Duration.ofHours(1);

  private final RelayServices services;
  private final Quarantine quarantine;
  private final AdmittedRequest admitted;
  private final RequestIdentity identity;
  private @Nullable RequestFingerprint fingerprint;

  /** Whether this request is a granted trial of a quarantined request. */
  private boolean trial;

  RequestQuarantine(RelayServices services, AdmittedRequest admitted) {
    this.services = services;
    this.quarantine = services.quarantine();
    this.admitted = admitted;
    this.identity = identity(admitted);
  }

  /** Returns whether the request must not be sent to any upstream. */
  boolean isQuarantined() {
    return !trial && isShapeKnown() && quarantine.isQuarantined(fingerprint());
  }

  /**
   * Checks whether the request may run. If it is quarantined and a trial is due, requests the trial
   * from the platform, which grants it to one box.
   */
  void checkMayRun(Consumer<Boolean> listener) {
    if (!isQuarantined()) {
      listener.accept(true);
    } else if (untilTrial().filter(Duration::isZero).isPresent()) {
      requestTrial(listener);
    } else {
      listener.accept(false);
    }
  }

  private void requestTrial(Consumer<Boolean> listener) {
    EventLoop loop = services.eventLoop();
    services
        .trials()
        .claim(fingerprint())
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
    return services.trials().timeUntilNext(fingerprint());
  }

  /**
   * Records that the request was answered completely. An upstream that failed may not have got as
   * far as the point at which others crash.
   */
  void recordAnswered(int status) {
    if (status < FIRST_SERVER_ERROR && isShapeKnown()) {
      quarantine.recordSuccess(fingerprint());
    }
  }

  /**
   * Starts a liveness check of an upstream whose connection was lost. Continues at once, unless
   * upstreams have crashed while serving the request before: then it continues after the check,
   * because one more crash may quarantine the request.
   */
  void connectionLost(Attempt attempt, Runnable continuation) {
    UpstreamRecord upstream = attempt.upstream();
    boolean suspect = isShapeKnown() && quarantine.crashCount(fingerprint()) > 0;
    services
        .livenessChecker()
        .check(
            upstream,
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
        .with("fingerprint", fingerprint().toString())
        .with("request", admitted.request().id())
        .with("upstream", upstream.incarnationId())
        .with("service", upstream.service())
        .with("parts", String.join(",", admitted.request().sharedPartIds()))
        .with("events", attempt.eventReads())
        .with("proof", result.name())
        .write();
    if (result == LivenessResult.REFUSED) {
      quarantine.recordCrash(fingerprint(), upstream.incarnationId());
    }
  }

  /** Records that upstreams crashed while processing a stage of the request. */
  void recordStageCrashes(List<String> incarnations) {
    incarnations.forEach(incarnation -> quarantine.recordCrash(fingerprint(), incarnation));
  }

  private boolean isShapeKnown() {
    return quarantine.hasShapeHash(identity.shapeHash());
  }

  private RequestFingerprint fingerprint() {
    if (fingerprint == null) {
      fingerprint = identity.fingerprint();
    }
    return fingerprint;
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
