package org.gradeledge.relay;

import java.util.Optional;
import org.gradeledge.deployment.ClientAccount;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.Urgency;

/**
 * A request together with the configuration that applies to it.
 *
 * @param request the caller's request
 * @param deployment configuration under which the request was admitted
 * @param route route that matches the request
 * @param account client account that the request's key belongs to, if any
 */
record AdmittedRequest(
    RelayRequest request,
    Deployment deployment,
    RouteDefinition route,
    Optional<ClientAccount> account) {

  /** Returns the service that the request is routed to. */
  String service() {
    return route.selectService(request.id().hashCode());
  }

  /**
   * Returns the timeout of the request: the caller's deadline or the route's timeout, whichever is
   * shorter.
   */
  long timeoutMillis() {
    return Math.min(request.deadlineMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
  }

  /** Returns the priority; 0 is the highest. */
  int priority() {
    return Urgency.of(account.flatMap(ClientAccount::priority), route.priority()).rank();
  }
}
