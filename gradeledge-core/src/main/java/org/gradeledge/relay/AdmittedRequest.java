package org.gradeledge.relay;

import java.util.Optional;
import org.gradeledge.deployment.ClientAccount;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.Urgency;

/**
 * A request with what the configuration in force says of it.
 *
 * @param request as it came
 * @param deployment configuration that it was admitted under
 * @param route route that takes it
 * @param account client account whose key it has, if any
 */
record AdmittedRequest(
    RelayRequest request,
    Deployment deployment,
    RouteDefinition route,
    Optional<ClientAccount> account) {

  /** Returns the service that runs it. */
  String service() {
    return route.selectService(request.id().hashCode());
  }

  /** Returns after how many milliseconds its answer is worth nothing. */
  long timeoutMillis() {
    return Math.min(request.deadlineMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
  }

  /** Returns how urgent it is, 0 is the most urgent. */
  int priority() {
    return Urgency.of(account.flatMap(ClientAccount::priority), route.priority()).rank();
  }
}
