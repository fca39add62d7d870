package org.gradeledge.relay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gradeledge.deployment.ClientAccount;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.RouteDefinition;

/**
 * Admits requests: finds the route and the client account and starts the exchange. Confined to the
 * event loop.
 *
 * @since 0.2
 */
public final class RelayHandler {

  /** A request in flight, as seen by its connection. */
  @FunctionalInterface
  public interface ActiveRequest {

    /** Called when the caller has closed its connection. */
    void callerDisconnected();
  }

  private static final ActiveRequest FINISHED = () -> {};
  private static final long RETRY_AFTER_MILLIS = 250;

  /** Other boxes may accept the request at once. */
  private static final long STOPPING_RETRY_AFTER_MILLIS = 50;

  private final RelayServices services;
  private final RouteTimes routeTimes;
  private final StopAdmission stopAdmission;
  private final InputReleasePolicy inputReleasePolicy;
  private final DispatchQueue queue;
  private final ResumptionResolver resumptions;
  private final Map<RelayExchange, AdmittedRequest> inFlight = new LinkedHashMap<>();
  private boolean stopping;

  /** Creates the handler. */
  public RelayHandler(RelayServices services) {
    this.services = services;
    this.routeTimes = new RouteTimes(services.clock());
    this.stopAdmission = new StopAdmission(services.clock(), routeTimes);
    this.inputReleasePolicy = new InputReleasePolicy(services.eventLoop(), services.clock());
    this.queue = new DispatchQueue(services.eventLoop());
    this.resumptions = new ResumptionResolver(services);
    services.quarantine().onVerdict(verdict -> rejectQuarantined());
  }

  /**
   * Accepts from now on only requests that are expected to end before a time.
   *
   * @param nanos time on the monotonic clock at which requests in flight are given up
   */
  public void stopAt(long nanos) {
    stopAdmission.stopAt(nanos);
  }

  /** Refuses all requests from now on. */
  public void stop() {
    stopping = true;
  }

  /** Refuses the requests in flight that have not been sent to an upstream. */
  public void refuseUnsent() {
    List.copyOf(inFlight.keySet()).forEach(RelayExchange::refuseUnsent);
  }

  /** Ends the requests that are still in flight when the process ends. */
  public void processEnds() {
    List.copyOf(inFlight.keySet()).forEach(RelayExchange::processEnds);
  }

  /** Fails the requests that timed out while the machine was suspended. */
  public void expireOverdue() {
    List.copyOf(inFlight.keySet()).forEach(RelayExchange::expireOverdue);
  }

  /** Processes a request. Calls the response on the event loop, possibly before returning. */
  public ActiveRequest handle(RelayRequest request, CallerResponse response) {
    Optional<Deployment> deployment = services.deployments().current();
    if (deployment.isEmpty()) {
      return refuse(request, Refusal.NO_CONFIGURATION, response);
    }
    if (stopping) {
      return refuse(request, Refusal.STOPPING, response);
    }
    return handle(request, deployment.get(), response);
  }

  private ActiveRequest handle(
      RelayRequest request, Deployment deployment, CallerResponse response) {
    Optional<RouteDefinition> route = deployment.routes().find(request.host(), request.path());
    if (route.isEmpty()) {
      return refuse(request, Refusal.NO_ROUTE, response);
    }
    Optional<ClientAccount> account =
        request.accountKey().flatMap(key -> Optional.ofNullable(deployment.accounts().get(key)));
    if (deployment.keysRequired() && !route.get().publicAccess() && account.isEmpty()) {
      return refuse(request, Refusal.UNKNOWN_KEY, response);
    }
    if (account.filter(known -> !known.isForwardable()).isPresent()) {
      return refuse(request, Refusal.ACCOUNT_NOT_FORWARDABLE, response);
    }
    if (request.body().length > deployment.callerLimits().maxBodyBytes()) {
      return refuse(request, Refusal.BODY_TOO_LARGE, response);
    }
    AdmittedRequest admitted =
        new AdmittedRequest(
            request, deployment, route.get(), account, Optional.empty(), services.clock().nanos());
    if (stopAdmission.mayOutlastStop(admitted, inFlight.values())) {
      return refuse(request, Refusal.OUTLASTS_STOP, response);
    }
    if (admitted.resumesUnnamedStream()) {
      resumptions.countUnnamed();
    }
    return request
        .resumedRequestId()
        .filter(id -> route.get().repeatability().streaming())
        .map(id -> resume(admitted, id, response))
        .orElseGet(() -> start(admitted, response));
  }

  private ActiveRequest resume(
      AdmittedRequest admitted, String firstRequestId, CallerResponse response) {
    RelayRequest request = admitted.request();
    PendingRequest pending = new PendingRequest();
    resumptions.resolve(
        request,
        admitted.route(),
        firstRequestId,
        result ->
            pending.start(
                () ->
                    stopping || stopAdmission.mayOutlastStop(admitted, inFlight.values())
                        ? refuse(request, Refusal.STOPPING, response)
                        : result.fold(
                            refusal -> refuse(request, refusal, response),
                            origin -> start(admitted.withOrigin(origin), response))));
    return pending;
  }

  private ActiveRequest start(AdmittedRequest admitted, CallerResponse response) {
    RelayExchange exchange =
        new RelayExchange(
            ExchangeContext.create(
                services, admitted, routeTimes, inputReleasePolicy, queue, response),
            inFlight::remove);
    inFlight.put(exchange, admitted);
    exchange.start();
    return exchange::callerDisconnected;
  }

  private void rejectQuarantined() {
    List.copyOf(inFlight.keySet()).forEach(RelayExchange::rejectIfQuarantined);
  }

  private ActiveRequest refuse(RelayRequest request, Refusal refusal, CallerResponse response) {
    services
        .events()
        .problem("request-refused")
        .with("request", request.id())
        .with("host", request.host())
        .with("path", request.path())
        .with("why", refusal.name())
        .with("revision", services.deployments().revision())
        .write();
    boolean stops = refusal == Refusal.STOPPING || refusal == Refusal.OUTLASTS_STOP;
    response.refuse(refusal, stops ? STOPPING_RETRY_AFTER_MILLIS : RETRY_AFTER_MILLIS);
    return FINISHED;
  }
}
