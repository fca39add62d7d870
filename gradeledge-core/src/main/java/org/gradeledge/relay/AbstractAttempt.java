package org.gradeledge.relay;

import io.netty.handler.codec.http.HttpHeaders;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.CancellableCall;
import org.gradeledge.discovery.UpstreamRecord;
import org.jspecify.annotations.Nullable;

/** What attempts share: their load on the board, and answers that say "not run". */
abstract class AbstractAttempt implements Attempt {

  private static final int FIRST_FAILURE = 500;

  private final RelayServices services;
  private final UpstreamRecord upstream;
  private final long tokens;
  private final long startNanos;
  private @Nullable CancellableCall call;
  private boolean over;
  private boolean notRun;

  AbstractAttempt(RelayServices services, UpstreamRecord upstream, long tokens) {
    this.services = services;
    this.upstream = upstream;
    this.tokens = tokens;
    this.startNanos = services.clock().nanos();
    services.board().recordStart(upstream, tokens);
  }

  /** The upstream did not run the request. */
  abstract void onNotRun(int status, HttpHeaders headers, AnswerFacts facts);

  /** The head of an answer that ran. */
  abstract void onRunHead(int status, HttpHeaders headers);

  /** There is no whole answer, and none will come. */
  abstract void onBroken(CallFailure failure);

  /** The answer is whole. */
  abstract void onWhole();

  @Override
  public final UpstreamRecord upstream() {
    return upstream;
  }

  @Override
  public final void started(CancellableCall started) {
    call = started;
    if (over) {
      started.cancel();
    }
  }

  @Override
  public final void cancel() {
    if (finish() && call != null) {
      call.cancel();
    }
  }

  @Override
  public final void giveUpSilent() {
    cancel();
    services.caller().discardConnections(upstream);
    services.board().recordFailure(upstream, true, "silent");
  }

  @Override
  public final void onHead(int status, HttpHeaders headers) {
    services.board().recordActivity(upstream);
    services.quarantine().recordAlive(upstream.incarnationId());
    AnswerFacts facts = services.protocol().readAnswer(status, headers);
    notRun = facts.notRun();
    if (!notRun) {
      onRunHead(status, headers);
      return;
    }
    cancel();
    services.metrics().attempt("not_run");
    onNotRun(status, headers, facts);
  }

  @Override
  public final void onComplete() {
    if (finish()) {
      services.metrics().attempt("answered");
      onWhole();
    }
  }

  @Override
  public final void onFailure(CallFailure failure) {
    if (finish()) {
      services.metrics().attempt(failure.isRequestSent() ? "broken" : "not_sent");
      noteFailure(failure);
      onBroken(failure);
    }
  }

  private void noteFailure(CallFailure failure) {
    if (failure.isUpstreamFault()) {
      boolean certain = failure == CallFailure.NOT_CONNECTED;
      services.board().recordFailure(upstream, certain, failure.name());
    }
  }

  /** Notes on the board how the answer's status speaks of the upstream. */
  final void noteStatus(int status) {
    if (status >= FIRST_FAILURE) {
      services.board().recordFailure(upstream, false, "status " + status);
    } else {
      services.board().recordSuccess(upstream, (services.clock().nanos() - startNanos) / 1e6);
    }
  }

  final boolean isOver() {
    return over;
  }

  final long runningMillis() {
    return (services.clock().nanos() - startNanos) / 1_000_000;
  }

  final RelayServices services() {
    return services;
  }

  private boolean finish() {
    if (over) {
      return false;
    }
    over = true;
    services.board().recordEnd(upstream, tokens);
    return true;
  }
}
