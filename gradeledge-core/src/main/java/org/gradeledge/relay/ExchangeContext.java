package org.gradeledge.relay;

import java.util.List;
import java.util.Optional;
import org.gradeledge.connection.ConnectionReuse;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.deployment.ClientAccount;
import org.gradeledge.deployment.ServiceDefinition;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Collaborators and state of one request.
 *
 * @param services services shared by all requests
 * @param admitted the request
 * @param clock clock of the request
 * @param outcome sends the answer
 * @param candidates upstreams that the request may be sent to
 * @param stagePlan stage work of the request
 * @param inputs stage results that the request uses
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

  private static final long REJECTION_PAUSE_MILLIS = 200;

  static ExchangeContext create(
      RelayServices services,
      AdmittedRequest admitted,
      RouteTimes routeTimes,
      InputReleasePolicy inputRelease,
      DispatchQueue queue,
      CallerResponse response) {
    String service = admitted.service();
    RequestClock clock =
        new RequestClock(
            services.clock(),
            admitted.arrivalNanos(),
            admitted.timeoutMillis(),
            admitted.route().targetLatencyMillis());
    StageTimeline timeline = new StageTimeline(clock);
    UpstreamCandidates candidates = new UpstreamCandidates(services, service, admitted.request());
    admitted.origin().map(Optional::of).ifPresent(candidates::restrictTo);
    StagePlan plan =
        new StagePlan(
            admitted.request(),
            admitted.deployment(),
            admitted.route(),
            services.stageWorkClient(),
            clock,
            admitted.priority(),
            candidates.likelyZone(),
            routeTimes.meanFirstEventMillis(admitted.route().name()),
            candidates.areLightlyLoaded(memoryPerUpstream(admitted)),
            timeline);
    return new ExchangeContext(
        services,
        admitted,
        clock,
        new ExchangeOutcome(services, admitted, clock, routeTimes, timeline, candidates, response),
        candidates,
        plan,
        new RequestInputs(service, plan, inputRelease),
        queue);
  }

  /** Returns the memory of one upstream of the request's service, if it is limited. */
  private static Optional<Long> memoryPerUpstream(AdmittedRequest admitted) {
    return admitted
        .deployment()
        .service(admitted.service())
        .flatMap(ServiceDefinition::kvCacheTokens);
  }

  /** Counts the request for the retry budgets of all services that it uses. */
  void countRequest() {
    services.retryBudget().recordRequest(admitted.service());
    admitted
        .route()
        .stages()
        .forEach(stage -> services.retryBudget().recordRequest(stage.service()));
  }

  /** Records the results of the stage work. */
  void stagesCompleted(List<String> results) {
    services.metrics().stagesCompleted(admitted.route().repeatability(), clock.elapsedMillis());
    outcome.stagesCompleted();
    inputs.setHandles(results);
    candidates.setInputBytes(stagePlan.bytesByZone());
  }

  /** Returns whether an upstream would accept the request, but its inputs were released. */
  boolean mustRecomputeInputs() {
    return !inputs.areAvailable() && candidates.hasNext();
  }

  /**
   * Records that an upstream has not run the request.
   *
   * @param mayAcceptLater whether it lacked capacity only
   */
  void recordRejection(UpstreamRecord upstream, boolean mayAcceptLater, AnswerSignals signals) {
    if (signals.addressReused()) {
      services.upstreams().markGone(upstream);
    } else if (mayAcceptLater) {
      services.loads().avoidFor(upstream, REJECTION_PAUSE_MILLIS);
    }
  }

  /** Takes one retry from the budget; returns whether it allowed one. */
  boolean trySpendRetry() {
    return services.retryBudget().trySpend(admitted.service());
  }

  /** Encodes the request for an upstream; a resumed stream starts after the given event. */
  OutgoingRequest outgoingRequest(UpstreamRecord upstream, Optional<String> lastEventId) {
    ForwardingContext forwarding =
        new ForwardingContext(
            clock.remainingMillis(),
            admitted.account().map(ClientAccount::name),
            admitted.priority(),
            inputs.handles(),
            lastEventId);
    ConnectionReuse reuse =
        admitted.route().repeatability().repeatable()
            ? ConnectionReuse.ANY
            : ConnectionReuse.RECENT;
    return services.protocol().encodeRequest(admitted.request(), upstream, forwarding, reuse);
  }
}
