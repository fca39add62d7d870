package org.gradeledge.relay;

import java.util.Optional;
import org.gradeledge.deployment.ClientAccount;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.Urgency;
import org.gradeledge.resumption.StreamOrigin;

/**
 * A request together with the configuration that applies to it.
 *
 * @param request the caller's request
 * @param deployment configuration under which the request was admitted
 * @param route route that matches the request
 * @param account client account that the request's key belongs to, if any
 * @param origin where the stream began that the caller resumes; empty for other requests
 * @param arrivalNanos time of arrival on the monotonic clock of the box
 */
record AdmittedRequest(
    RelayRequest request,
    Deployment deployment,
    RouteDefinition route,
    Optional<ClientAccount> account,
    Optional<StreamOrigin> origin,
    long arrivalNanos) {

  /** Returns a copy of a request that resumes a stream of the given origin. */
  AdmittedRequest withOrigin(StreamOrigin streamOrigin) {
    return new AdmittedRequest(
        request, deployment, route, account, Optional.of(streamOrigin), arrivalNanos);
  }

  /** Returns the service that the request is routed to; a resumed stream stays at its service. */
  String service() {
    return origin
        .map(StreamOrigin::service)
        .orElseGet(() -> route.selectService(request.id().hashCode()));
  }

  /** Returns whether the caller resumes a stream without saying which request began it. */
  boolean resumesUnnamedStream() {
    return route.repeatability().streaming()
        && request.lastEventId().isPresent()
        && request.resumedRequestId().isEmpty();
  }

  /**
   * Returns the id under which the origin of the stream is recorded: that of the request that began
   * it. Empty if no other box may resume the stream, or if it began at an unknown request.
   */
  Optional<String> recordedRequestId() {
    return Optional.of(request.resumedRequestId().orElse(request.id()))
        .filter(id -> !id.isEmpty())
        .filter(id -> route.repeatability().repeatable() && !resumesUnnamedStream());
  }

  /** Returns how long the caller waits for the answer, over all its attempts. */
  long callerDeadlineMillis() {
    return request.deadlineMillis().orElse(route.timeoutMillis());
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
