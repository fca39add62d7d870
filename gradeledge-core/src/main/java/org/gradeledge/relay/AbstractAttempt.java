package org.gradeledge.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.CancellableCall;
import org.gradeledge.connection.ConnectionUse;
import org.gradeledge.discovery.UpstreamRecord;
import org.jspecify.annotations.Nullable;

/**
 * Base class of attempts: records load and failures of the upstream and detects answers that report
 * that the request was not run.
 */
abstract class AbstractAttempt implements Attempt {

  private static final int FIRST_SERVER_ERROR = 500;

  private final RelayServices services;
  private final UpstreamRecord upstream;
  private final long tokens;
  private final long startNanos;
  private long lastActivityNanos;
  private @Nullable CancellableCall call;
  private Optional<ConnectionUse> connection = Optional.empty();
  private boolean finished;
  private boolean notRun;

  AbstractAttempt(RelayServices services, UpstreamRecord upstream, long tokens) {
    this.services = services;
    this.upstream = upstream;
    this.tokens = tokens;
    this.startNanos = services.clock().nanos();
    this.lastActivityNanos = startNanos;
    services.loads().recordStart(upstream, tokens);
  }

  /** Called when the request was sent. */
  void onSent() {}

  /** Called when the upstream reports that it did not run the request. */
  abstract void onNotRun(int status, HttpHeaders headers, AnswerSignals signals);

  /** Called with the head of an answer to a request that was run. */
  abstract void onAnswerHead(int status, HttpHeaders headers);

  /** Called when the call has failed before the answer was complete. */
  abstract void onAnswerIncomplete(CallFailure failure);

  /** Called when the answer is complete. */
  abstract void onAnswerComplete();

  @Override
  public final UpstreamRecord upstream() {
    return upstream;
  }

  @Override
  public final Optional<ConnectionUse> connection() {
    return connection;
  }

  @Override
  public final void onSent(ConnectionUse use) {
    connection = Optional.of(use);
    onSent();
  }

  @Override
  public final void setCall(CancellableCall upstreamCall) {
    call = upstreamCall;
    if (finished) {
      upstreamCall.cancel();
    }
  }

  @Override
  public final void cancel() {
    if (finish() && call != null) {
      call.cancel();
    }
  }

  @Override
  public final long silentMillis() {
    return (services.clock().nanos() - lastActivityNanos) / 1_000_000;
  }

  /** Returns the time at which something was last received, or the request was sent. */
  final long lastActivityNanos() {
    return lastActivityNanos;
  }

  final void recordActivity() {
    lastActivityNanos = services.clock().nanos();
  }

  @Override
  public final void abandonAsSilent(SilenceVerdict verdict) {
    cancel();
    services.metrics().attemptEnded("abandoned");
    services.upstreamCaller().discardConnections(upstream);
    if (verdict == SilenceVerdict.UNANSWERED) {
      services.loads().recordFailure(upstream, true, "silent");
    }
  }

  @Override
  public final void onHead(int status, HttpHeaders headers) {
    AnswerSignals signals = services.protocol().readAnswer(status, headers);
    recordSignOfLife(signals);
    notRun = signals.notRun();
    if (!notRun) {
      onAnswerHead(status, headers);
      return;
    }
    cancel();
    services.metrics().attemptEnded("not_run");
    onNotRun(status, headers, signals);
  }

  /** An answer of another upstream at the same address says nothing about this one. */
  private void recordSignOfLife(AnswerSignals signals) {
    if (!signals.addressReused()) {
      services.quarantine().recordAlive(upstream.incarnationId(), startNanos);
    }
  }

  @Override
  public final void onComplete() {
    if (finish()) {
      services.metrics().attemptEnded("answered");
      onAnswerComplete();
    }
  }

  @Override
  public final void onFailure(CallFailure failure) {
    if (finish()) {
      services.metrics().attemptEnded(failure.isRequestSent() ? "broken" : "not_sent");
      recordFailure(failure);
      onAnswerIncomplete(failure);
    }
  }

  private void recordFailure(CallFailure failure) {
    if (failure.isUpstreamFault()) {
      boolean certain = failure == CallFailure.NOT_CONNECTED;
      services.loads().recordFailure(upstream, certain, failure.name());
    }
  }

  /** Records a success or a failure of the upstream from the status of its answer. */
  final void recordStatus(int status) {
    if (status >= FIRST_SERVER_ERROR) {
      services.loads().recordFailure(upstream, false, "status " + status);
    } else {
      services.loads().recordSuccess(upstream, (services.clock().nanos() - startNanos) / 1e6);
    }
  }

  final boolean isFinished() {
    return finished;
  }

  final long elapsedMillis() {
    return (services.clock().nanos() - startNanos) / 1_000_000;
  }

  final RelayServices services() {
    return services;
  }

  private boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    services.loads().recordEnd(upstream, tokens);
    return true;
  }
}
