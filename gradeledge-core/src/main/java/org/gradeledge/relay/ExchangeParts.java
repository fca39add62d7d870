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
 * @param plan its stage work
 * @param inputs results of that
 * @param queue requests that have not been sent yet
 */
record ExchangeParts(
    RelayServices services,
    AdmittedRequest admitted,
    RequestClock clock,
    ExchangeOutcome outcome,
    UpstreamCandidates candidates,
    StagePlan plan,
    RequestInputs inputs,
    DispatchQueue queue) {

  static ExchangeParts of(
      RelayServices services,
      AdmittedRequest admitted,
      FirstEventTimes firstEvents,
      InputRelease inputRelease,
      DispatchQueue queue,
      CallerResponse response) {
    String service = admitted.service();
    RequestClock clock =
        new RequestClock(
            services.clock(), admitted.limitMillis(), admitted.route().targetLatencyMillis());
    StageTimeline timeline = new StageTimeline(clock);
    UpstreamCandidates candidates = new UpstreamCandidates(services, service, admitted.request());
    StagePlan plan =
        new StagePlan(
            admitted.request(),
            admitted.deployment(),
            admitted.route(),
            services.stages(),
            clock,
            admitted.priority(),
            candidates.likelyZone(),
            firstEvents.usualMillis(admitted.route().name()),
            timeline);
    return new ExchangeParts(
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
    services.budget().requested(admitted.service());
    admitted.route().stages().forEach(stage -> services.budget().requested(stage.service()));
  }

  /** Returns whether the retry budget allows to send the request again, and counts that. */
  boolean mayRepeat() {
    return services.budget().trySpend(admitted.service());
  }

  /** Returns the request as it goes to an upstream, after what was passed on of its answer. */
  OutgoingRequest outgoing(UpstreamRecord upstream, Optional<String> passedOn) {
    AttemptFacts facts =
        new AttemptFacts(
            clock.leftMillis(),
            admitted.account().map(ClientAccount::name),
            admitted.priority(),
            inputs.handles(),
            passedOn);
    ConnectionReuse reuse =
        admitted.route().repeatability().repeatable()
            ? ConnectionReuse.ANY
            : ConnectionReuse.RECENT;
    return services.protocol().encode(admitted.request(), upstream, facts, reuse);
  }
}
