package org.gradeledge.relay;

import java.util.Optional;
import org.gradeledge.connection.ConnectionReuse;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.deployment.ClientAccount;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * What one request needs on its way, put together for it.
 *
 * @param services what all requests share
 * @param admitted the request
 * @param clock its times
 * @param outcome its answer
 * @param candidates the upstreams it may go to
 * @param stagePlan its stage work
 * @param inputs results of that
 * @param queue requests that have not been sent yet
 */
record ExchangeContext(
    RelayServices services,
    AdmittedRequest admitted,
    RequestClock clock,
    ExchangeOutcome outcome,
    UpstreamCandidates candidates,
    StagePlan stagePlan,
    RequestInputs inputs,
    DispatchQueue queue) {

  static ExchangeContext create(
      RelayServices services,
      AdmittedRequest admitted,
      FirstEventTimes firstEvents,
      InputReleasePolicy inputRelease,
      DispatchQueue queue,
      CallerResponse response) {
    String service = admitted.service();
    RequestClock clock =
        new RequestClock(
            services.clock(), admitted.timeoutMillis(), admitted.route().targetLatencyMillis());
    StageTimeline timeline = new StageTimeline(clock);
    UpstreamCandidates candidates = new UpstreamCandidates(services, service, admitted.request());
    StagePlan plan =
        new StagePlan(
            admitted.request(),
            admitted.deployment(),
            admitted.route(),
            services.stageWorkClient(),
            clock,
            admitted.priority(),
            candidates.likelyZone(),
            firstEvents.meanMillis(admitted.route().name()),
            timeline);
    return new ExchangeContext(
        services,
        admitted,
        clock,
        new ExchangeOutcome(services, admitted, clock, firstEvents, timeline, candidates, response),
        candidates,
        plan,
        new RequestInputs(service, plan, inputRelease),
        queue);
  }

  /** Counts the request for the retry budgets of all services that it needs. */
  void countRequest() {
    services.retryBudget().recordRequest(admitted.service());
    admitted
        .route()
        .stages()
        .forEach(stage -> services.retryBudget().recordRequest(stage.service()));
  }

  /** Returns whether the retry budget allows to send the request again, and counts that. */
  boolean trySpendRetry() {
    return services.retryBudget().trySpend(admitted.service());
  }

  /** Returns the request as it goes to an upstream, after what was passed on of its answer. */
  OutgoingRequest outgoingRequest(UpstreamRecord upstream, Optional<String> passedOn) {
    ForwardingContext facts =
        new ForwardingContext(
            clock.remainingMillis(),
            admitted.account().map(ClientAccount::name),
            admitted.priority(),
            inputs.handles(),
            passedOn);
    ConnectionReuse reuse =
        admitted.route().repeatability().repeatable()
            ? ConnectionReuse.ANY
            : ConnectionReuse.RECENT;
    return services.protocol().encodeRequest(admitted.request(), upstream, facts, reuse);
  }
}
