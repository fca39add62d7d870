package org.gradeledge.relay;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.event.EventLog;
import org.gradeledge.resumption.OriginLookup;
import org.gradeledge.resumption.StreamOrigin;

/**
 * Decides whether a stream that a caller resumes can go on: its origin must be known, the route
 * must still lead to its service, and an upstream of its software version must accept requests.
 * Confined to the event loop.
 */
final class ResumptionResolver {

  private static final String UNNAMED = "unnamed";
  private static final String NO_UPSTREAM_OF_VERSION = "no_upstream_of_version";

  private final RelayServices services;

  ResumptionResolver(RelayServices services) {
    this.services = services;
  }

  /**
   * Finds the origin of the stream that another request began. Calls the listener once, possibly
   * before returning, with the origin or the reason why the stream cannot go on.
   */
  void resolve(
      RelayRequest request,
      RouteDefinition route,
      String firstRequestId,
      Consumer<Either<Refusal, StreamOrigin>> listener) {
    long startNanos = services.clock().nanos();
    services
        .streamOrigins()
        .find(
            firstRequestId, lookup -> listener.accept(decide(request, route, lookup, startNanos)));
  }

  /** Counts a stream that is resumed at any version, as its caller does not say where it began. */
  void countUnnamed() {
    services.metrics().streamResumed(UNNAMED);
  }

  private Either<Refusal, StreamOrigin> decide(
      RelayRequest request, RouteDefinition route, OriginLookup lookup, long startNanos) {
    Either<Refusal, StreamOrigin> result =
        lookup
            .originHash()
            .map(hash -> findServed(route, hash))
            .orElse(Either.left(Refusal.STREAM_ORIGIN_UNKNOWN));
    boolean noUpstream = result.isLeft() && lookup.originHash().isPresent();
    services
        .metrics()
        .streamResumed(noUpstream ? NO_UPSTREAM_OF_VERSION : lookup.outcome().label());
    log(request, lookup, result, (services.clock().nanos() - startNanos) / 1_000_000);
    return result;
  }

  /** Returns the origin with a hash if upstreams of it serve the route. */
  private Either<Refusal, StreamOrigin> findServed(RouteDefinition route, long originHash) {
    return route
        .reachableServices()
        .flatMap(service -> services.upstreams().usable(service).stream())
        .flatMap(upstream -> StreamOrigin.of(upstream).stream())
        .filter(origin -> origin.hash() == originHash)
        .findFirst()
        .map(Either::<Refusal, StreamOrigin>right)
        .orElse(Either.left(Refusal.NO_UPSTREAM_OF_VERSION));
  }

  private void log(
      RelayRequest request,
      OriginLookup lookup,
      Either<Refusal, StreamOrigin> result,
      long lookupMillis) {
    EventLog.Event event =
        result.isRight()
            ? services.events().step("stream-resumption")
            : services.events().problem("stream-resumption");
    event
        .with("request", request.id())
        .with("resumes", request.resumedRequestId().orElse(""))
        .with("last-event", request.lastEventId().orElse(""))
        .with("outcome", result.fold(Enum::name, origin -> "resumed"))
        .with("origin", lookup.outcome().label())
        .with("service", result.map(StreamOrigin::service).getOrElse(""))
        .with("version", result.map(StreamOrigin::softwareVersion).getOrElse(""))
        .with("ms", lookupMillis)
        .write();
  }
}
