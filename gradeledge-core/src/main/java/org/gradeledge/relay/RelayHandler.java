package org.gradeledge.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gradeledge.deployment.ClientAccount;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.RouteDefinition;

/**
 * Admits requests: finds the route and the account, and starts the exchange. Confined to the event
 * loop.
 *
 * @since 0.2
 */
public final class RelayHandler {

  /** A request that is under way, as its connection sees it. */
  @FunctionalInterface
  public interface Running {

    /** The caller has closed its connection. */
    void callerGone();
  }

  private static final Running ENDED = () -> {};
  private static final long SOON_MILLIS = 250;

  private final RelayServices services;
  private final FirstEventTimes firstEvents = new FirstEventTimes();
  private final InputRelease inputRelease;
  private final DispatchQueue queue;
  private final Set<RelayExchange> underWay = new HashSet<>();
  private boolean stopping;

  /** Creates the handler. */
  public RelayHandler(RelayServices services) {
    this.services = services;
    this.inputRelease = new InputRelease(services.loop(), services.clock());
    this.queue = new DispatchQueue(services.loop());
    services.quarantine().onVerdict(verdict -> holdBackWhatWaits());
  }

  /** Refuses all requests from now on. */
  public void stop() {
    stopping = true;
  }

  /** Refuses the requests under way that no upstream has got yet. */
  public void refuseUnsent() {
    List.copyOf(underWay).forEach(RelayExchange::refuseUnsent);
  }

  /** Gives up the requests whose time passed while the machine was suspended. */
  public void wokeUp() {
    List.copyOf(underWay).forEach(RelayExchange::wokeUp);
  }

  /** Takes a request; the response is called on the event loop, also before this returns. */
  public Running handle(RelayRequest request, CallerResponse response) {
    Optional<Deployment> deployment = services.deployments().current();
    if (deployment.isEmpty()) {
      return refuse(request, Refusal.NO_CONFIGURATION, response);
    }
    if (stopping) {
      return refuse(request, Refusal.STOPPING, response);
    }
    return handle(request, deployment.get(), response);
  }

  private Running handle(RelayRequest request, Deployment deployment, CallerResponse response) {
    Optional<RouteDefinition> route = deployment.routes().find(request.host(), request.path());
    if (route.isEmpty()) {
      return refuse(request, Refusal.NO_ROUTE, response);
    }
    Optional<ClientAccount> account =
        request.key().flatMap(key -> Optional.ofNullable(deployment.accounts().get(key)));
    if (deployment.keysRequired() && !route.get().publicAccess() && account.isEmpty()) {
      return refuse(request, Refusal.UNKNOWN_KEY, response);
    }
    if (request.body().length > deployment.callerLimits().maxBodyBytes()) {
      return refuse(request, Refusal.BODY_TOO_LARGE, response);
    }
    AdmittedRequest admitted = new AdmittedRequest(request, deployment, route.get(), account);
    RelayExchange exchange =
        new RelayExchange(
            ExchangeParts.of(services, admitted, firstEvents, inputRelease, queue, response),
            underWay::remove);
    underWay.add(exchange);
    exchange.start();
    return exchange::callerGone;
  }

  private void holdBackWhatWaits() {
    List.copyOf(underWay).forEach(RelayExchange::quarantineChanged);
  }

  private Running refuse(RelayRequest request, Refusal refusal, CallerResponse response) {
    services
        .events()
        .problem("request-refused")
        .with("request", request.id())
        .with("host", request.host())
        .with("path", request.path())
        .with("why", refusal.name())
        .with("revision", services.deployments().revision())
        .write();
    response.refuse(refusal, SOON_MILLIS);
    return ENDED;
  }
}
