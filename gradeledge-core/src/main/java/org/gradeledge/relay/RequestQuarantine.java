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
 * What the quarantine knows of one request, and what it is told of it. The request's body is looked
 * at only where an upstream ended under it, or under another one of the same shape. Confined to the
 * event loop.
 */
final class RequestQuarantine {

  private static final String NO_ACCOUNT = "";

  /**
   * Told to a caller where no trial is due any more: it is for the operator to lift the verdict.
   */
  private static final Duration RETRY_AFTER_WITHOUT_TRIAL = Duration.ofHours(1);

  private final RelayServices services;
  private final Quarantine quarantine;
  private final AdmittedRequest admitted;
  private final RequestIdentity identity;
  private @Nullable RequestFingerprint fingerprint;

  /** Whether this request is the one trial that a held back one is given. */
  private boolean trial;

  RequestQuarantine(RelayServices services, AdmittedRequest admitted) {
    this.services = services;
    this.quarantine = services.quarantine();
    this.admitted = admitted;
    this.identity = identity(admitted);
  }

  /** Returns whether the request must be sent to no upstream. */
  boolean isQuarantined() {
    return !trial && isShapeKnown() && quarantine.isQuarantined(fingerprint());
  }

  /**
   * Tells whether the request may run: at once, unless it is held back and a trial is due, which
   * the platform grants to one box.
   */
  void checkMayRun(Consumer<Boolean> answer) {
    if (!isQuarantined()) {
      answer.accept(true);
    } else if (untilTrial().filter(Duration::isZero).isPresent()) {
      requestTrial(answer);
    } else {
      answer.accept(false);
    }
  }

  private void requestTrial(Consumer<Boolean> answer) {
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
                      answer.accept(granted);
                    }));
  }

  /** Notes that the request goes to an upstream; a trial is over with that. */
  void recordSent() {
    trial = false;
  }

  /** Returns how long the request is held back from now on, in milliseconds. */
  long remainingMillis() {
    return untilTrial().orElse(RETRY_AFTER_WITHOUT_TRIAL).toMillis();
  }

  private Optional<Duration> untilTrial() {
    return services.trials().timeUntilNext(fingerprint());
  }

  /** Notes that the request was answered whole. */
  void recordAnswered() {
    if (isShapeKnown()) {
      quarantine.recordSuccess(fingerprint());
    }
  }

  /**
   * Notes that a connection on which the request was sent is lost, and looks whether the upstream
   * has ended. Where others have ended under the request before, what follows waits for that: if
   * this is one more, the request goes nowhere. Else it follows at once, as most connections are
   * lost for reasons of their own.
   */
  void connectionLost(UpstreamRecord upstream, Runnable then) {
    boolean suspect = isShapeKnown() && quarantine.crashCount(fingerprint()) > 0;
    services
        .crashDetector()
        .check(
            upstream,
            proof -> {
              recordLivenessCheck(upstream, proof);
              if (suspect) {
                then.run();
              }
            });
    if (!suspect) {
      then.run();
    }
  }

  /** Only a refusal shows an end: what is silent may be a network that parts this box from it. */
  private void recordLivenessCheck(UpstreamRecord upstream, LivenessResult proof) {
    services
        .events()
        .problem("upstream-broke-off")
        .with("fingerprint", fingerprint().toString())
        .with("request", admitted.request().id())
        .with("upstream", upstream.incarnationId())
        .with("service", upstream.service())
        .with("proof", proof.name())
        .write();
    if (proof == LivenessResult.REFUSED) {
      quarantine.recordCrash(fingerprint(), upstream.incarnationId());
    }
  }

  /** Notes that upstreams ended while they made the pieces of a stage that was not made. */
  void recordStageCrashes(List<String> starts) {
    starts.forEach(start -> quarantine.recordCrash(fingerprint(), start));
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
