package org.gradeledge.relay;

import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.discovery.UpstreamRecord;

/** Sends one request to upstreams. Confined to the event loop. */
final class AttemptSender {

  private final ExchangeContext context;
  private final AttemptHistory history;
  private final RequestQuarantine quarantine;
  private final ForwardedStream stream;
  private final ActiveAttempts attempts;
  private final AttemptListener listener;

  AttemptSender(
      ExchangeContext context,
      AttemptHistory history,
      RequestQuarantine quarantine,
      ForwardedStream stream,
      ActiveAttempts attempts,
      AttemptListener listener) {
    this.context = context;
    this.history = history;
    this.quarantine = quarantine;
    this.stream = stream;
    this.attempts = attempts;
    this.listener = listener;
  }

  /** Sends the request to an upstream; returns the attempt, which is the current one. */
  Attempt send(UpstreamRecord upstream) {
    Attempt next = create(upstream);
    attempts.setCurrent(next);
    call(next);
    return next;
  }

  /** Returns whether the request may be sent: neither it nor a part of it is quarantined. */
  boolean maySend() {
    return !quarantine.isQuarantined();
  }

  /** Sends the request to an upstream beside the current attempt, if it may be sent. */
  void sendStandby(UpstreamRecord upstream) {
    if (!maySend()) {
      return;
    }
    Attempt next = create(upstream);
    attempts.setStandby(next);
    call(next);
  }

  private Attempt create(UpstreamRecord upstream) {
    context.outcome().attemptSent(upstream, history.recordSent());
    quarantine.recordSent();
    return Attempt.create(context.services(), upstream, context.admitted(), listener);
  }

  private void call(Attempt next) {
    UpstreamRecord upstream = next.upstream();
    OutgoingRequest request = context.outgoingRequest(upstream, stream.lastEventId());
    next.setCall(context.services().upstreamCaller().call(upstream, request, next));
  }
}
