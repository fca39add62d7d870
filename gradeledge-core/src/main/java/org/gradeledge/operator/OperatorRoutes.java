package org.gradeledge.operator;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import org.gradeledge.audit.AuditTrail;
import org.gradeledge.change.ChangeCoordinator;
import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.configuration.TextDigest;
import org.gradeledge.http.HttpReplies;
import org.gradeledge.http.Problem;
import org.gradeledge.http.RequestBodies;
import org.gradeledge.membership.MemberRow;
import org.gradeledge.membership.Membership;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.platform.PlatformException;
import org.gradeledge.settings.OperatorSettings;
import org.gradeledge.synchronization.Heartbeat;
import org.gradeledge.synchronization.HeartbeatService;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * The routes of the operators' port; each asks for an operator's token.
 *
 * @since 0.1
 */
public final class OperatorRoutes {

  private static final int MAX_FILE_BYTES = 2 * 1024 * 1024;
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int UNPROCESSABLE = 422;
  private static final int NOT_FOUND = 404;

  private record NotFoundReply(String title) {}

  private final OperatorAuthenticator authenticator;
  private final ChangeCoordinator changes;
  private final AuditTrail audit;
  private final ConfigurationRegistry registry;
  private final Membership membership;
  private final HeartbeatService heartbeats;
  private final BoxMetrics metrics;
  private final Runnable drain;
  private final SubmissionRequestReader submissionReader = new SubmissionRequestReader();

  /**
   * Creates the routes.
   *
   * @param drain starts a planned stop of this box
   */
  public OperatorRoutes(
      List<OperatorSettings> operators,
      ChangeCoordinator changes,
      AuditTrail audit,
      ConfigurationRegistry registry,
      Membership membership,
      HeartbeatService heartbeats,
      BoxMetrics metrics,
      Runnable drain) {
    this.authenticator = new OperatorAuthenticator(operators);
    this.changes = changes;
    this.audit = audit;
    this.registry = registry;
    this.membership = membership;
    this.heartbeats = heartbeats;
    this.metrics = metrics;
    this.drain = drain;
  }

  /** Adds the routes to a port. */
  public void addTo(HttpServerRoutes routes) {
    routes
        .put("/v1/pipelines/{pipeline}", authenticated(this::submit))
        .get("/v1/pipelines", authenticated((request, response) -> pipelines(response)))
        .get("/v1/pipelines/{pipeline}", authenticated(this::pipeline))
        .get("/v1/boxes", authenticated((request, response) -> boxes(response)))
        .get("/v1/submissions/{id}", authenticated(this::submission))
        .get("/v1/audit", authenticated((request, response) -> auditTrail(response)))
        .get(
            "/v1/costs",
            authenticated(
                (request, response) ->
                    HttpReplies.sendJson(response, OK, metrics.costs().totals())))
        .post("/v1/drain", authenticated((request, response) -> drain(response)))
        .get(
            "/metrics",
            authenticated(
                (request, response) ->
                    HttpReplies.send(
                        response, OK, "text/plain; version=0.0.4", metrics.exposition())));
  }

  private BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> authenticated(
      BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> handler) {
    return (request, response) ->
        Mono.defer(
                () -> {
                  authenticator.authenticate(request);
                  return handler.apply(request, response);
                })
            .onErrorResume(e -> refuse(e, response));
  }

  private static Mono<Void> refuse(Throwable e, HttpServerResponse response) {
    RefusalException refusal =
        e instanceof RefusalException known
            ? known
            : RefusalException.forReason(
                    e instanceof PlatformException
                        ? RefusalReason.TABLE_UNAVAILABLE
                        : RefusalReason.INTERNAL)
                .detail(e.getMessage())
                .build();
    return HttpReplies.send(
        response,
        refusal.reason().httpStatus(),
        HttpReplies.PROBLEM,
        HttpReplies.encodeJson(Problem.of(refusal, "")));
  }

  private Mono<Void> submit(HttpServerRequest request, HttpServerResponse response) {
    String operator = authenticator.authenticate(request);
    return RequestBodies.read(request, MAX_FILE_BYTES)
        .flatMap(
            body ->
                submissionReader
                    .read(request, operator, body)
                    .fold(
                        faults ->
                            HttpReplies.sendJson(
                                response, UNPROCESSABLE, SubmissionReply.invalid(faults)),
                        submission ->
                            changes
                                .submit(submission)
                                .flatMap(
                                    result ->
                                        HttpReplies.sendJson(
                                            response,
                                            result.httpStatus(),
                                            SubmissionReply.of(result)))));
  }

  private Mono<Void> pipelines(HttpServerResponse response) {
    return HttpReplies.sendJson(
        response,
        OK,
        registry.activeVersions().stream()
            .map(
                version ->
                    new PipelineStatus(
                        version.pipeline(),
                        version.version(),
                        TextDigest.sha256(version.text()),
                        version.submissionId()))
            .sorted(Comparator.comparing(PipelineStatus::pipeline))
            .toList());
  }

  private Mono<Void> pipeline(HttpServerRequest request, HttpServerResponse response) {
    return registry
        .findActive(Objects.requireNonNull(request.param("pipeline")))
        .map(
            version ->
                HttpReplies.send(
                    response.header("ETag", "\"" + version.version() + "\""),
                    OK,
                    HttpReplies.JSON,
                    version.text()))
        .orElseGet(() -> notFound(response, "no such pipeline"));
  }

  private Mono<Void> boxes(HttpServerResponse response) {
    Map<String, Heartbeat> heard = heartbeats.lastByPeer();
    return HttpReplies.sendJson(
        response,
        OK,
        membership.members().members().values().stream()
            .map(member -> statusOf(member, heard))
            .sorted(Comparator.comparing(BoxStatus::boxId))
            .collect(Collectors.toList()));
  }

  private BoxStatus statusOf(MemberRow member, Map<String, Heartbeat> heard) {
    boolean self = member.boxId().equals(membership.boxId());
    Optional<Heartbeat> heartbeat = Optional.ofNullable(heard.get(member.boxId()));
    return new BoxStatus(
        member.boxId(),
        member.incarnation(),
        member.availabilityZone(),
        self || heartbeat.isPresent(),
        self ? Optional.of(membership.isConfirmed()) : heartbeat.map(Heartbeat::serving),
        member.removing(),
        self
            ? registry.activeVersionNumbers()
            : heartbeat.map(Heartbeat::versions).orElse(Map.of()));
  }

  private Mono<Void> submission(HttpServerRequest request, HttpServerResponse response) {
    return changes
        .find(Objects.requireNonNull(request.param("id")))
        .flatMap(
            found ->
                found
                    .map(record -> HttpReplies.sendJson(response, OK, record))
                    .orElseGet(() -> notFound(response, "no such submission")));
  }

  private Mono<Void> auditTrail(HttpServerResponse response) {
    return audit.entries().flatMap(entries -> HttpReplies.sendJson(response, OK, entries));
  }

  private Mono<Void> drain(HttpServerResponse response) {
    drain.run();
    return HttpReplies.sendJson(response, ACCEPTED, Map.of("draining", membership.boxId()));
  }

  private static Mono<Void> notFound(HttpServerResponse response, String what) {
    return HttpReplies.sendJson(response, NOT_FOUND, new NotFoundReply(what));
  }
}
