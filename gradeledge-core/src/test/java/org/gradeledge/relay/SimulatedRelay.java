package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.connection.LivenessChecker;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.StageWork;
import org.gradeledge.deployment.TestDeployments;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.event.RecordedEventLog;
import org.gradeledge.inspection.FakeRunReports;
import org.gradeledge.inspection.RunInspector;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.RequestFingerprint;
import org.gradeledge.quarantine.RequestIdentity;
import org.gradeledge.resumption.FakeOriginArchive;
import org.gradeledge.resumption.FakeOriginReplicas;
import org.gradeledge.resumption.StreamOriginDirectory;
import org.gradeledge.resumption.StreamOrigins;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;

/**
 * Relay of one box in virtual time, with the caller and the upstreams under control of the test.
 */
final class SimulatedRelay implements CallerResponse {

  static final String HOST = "host";
  static final String PATH = "/path/x";

  /** Route whose requests may be repeated. */
  static final RouteDefinition PLAIN =
      TestDeployments.route(HOST, "/path/", Repeatability.REPEATABLE);

  /** Route with one stage whose requests may be repeated. */
  static final RouteDefinition STAGED =
      TestDeployments.route(
          HOST,
          "/path/",
          Repeatability.REPEATABLE,
          List.of(new StageWork("service", List.of(), 1)));

  /** Status of an answer from an upstream other than the one that the request was sent to. */
  static final int OTHER_UPSTREAM = 421;

  private static final byte[] BODY = "a body".getBytes(StandardCharsets.UTF_8);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowMillis = 1_000_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  final FakeUpstreamCaller upstreamCaller = new FakeUpstreamCaller();
  final FakeUpstreamCaller reportCaller = new FakeUpstreamCaller();
  final FakeRunReports reports = new FakeRunReports(reportCaller);
  final FakeStageWorkClient stageWorkClient = new FakeStageWorkClient();
  final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  final Quarantine quarantine = new Quarantine(clock);
  final ControlledTrials trials = new ControlledTrials();
  final FakeOriginReplicas replicas = new FakeOriginReplicas();
  final List<String> answers = new ArrayList<>();
  final StringBuilder events = new StringBuilder();
  final RecordedEventLog log = new RecordedEventLog();
  private final RetryBudget retryBudget =
      new RetryBudget(clock, 1, 100, Duration.ofSeconds(10), () -> 1);
  private final RelayHandler handler;
  private RelayHandler.ActiveRequest activeRequest = () -> {};

  SimulatedRelay(RouteDefinition route, UpstreamRecord... registeredUpstreams) {
    this(clock -> SendLimiter.UNLIMITED, route, registeredUpstreams);
  }

  /** Creates a relay whose send limiter uses the virtual time. */
  SimulatedRelay(
      Function<MonotonicClock, SendLimiter> limiterFactory,
      RouteDefinition route,
      UpstreamRecord... registeredUpstreams) {
    SendLimiter sendLimiter = limiterFactory.apply(clock);
    channel.freezeTime();
    DeploymentRegistry deployments =
        new DeploymentRegistry(
            document -> Either.right(TestDeployments.of(1, route)), EventLogs.silent());
    deployments.offer(new byte[1], "test");
    upstreams.replaceAll(1, List.of(registeredUpstreams));
    UpstreamLoads loads = new UpstreamLoads(clock, EventLogs.silent());
    RelayServices services =
        new RelayServices(
            "zone",
            channel.eventLoop(),
            clock,
            deployments,
            upstreams,
            loads,
            (candidates, demand) -> candidates.stream().findFirst(),
            sendLimiter,
            retryBudget,
            upstreamCaller,
            new RunInspector(
                reportCaller, reports, SendLimiter.UNLIMITED, channel.eventLoop(), log.eventLog()),
            new LivenessChecker(upstreamCaller, upstreams::hasLeft),
            quarantine,
            trials,
            new StreamOriginDirectory(new StreamOrigins(clock), replicas, new FakeOriginArchive()),
            new PassThroughProtocol(),
            stageWorkClient,
            new RelayMetrics(),
            log.eventLog());
    this.handler = new RelayHandler(services);
  }

  static UpstreamRecord upstream(int number) {
    return new UpstreamRecord("u" + number, "service", "10.0.0.1", number, "zone", 8, false);
  }

  /** Returns the fingerprint of the request that {@link #send} sends. */
  RequestFingerprint fingerprint() {
    return new RequestIdentity("account", "POST", HOST, PATH, BODY).fingerprint();
  }

  /** Sends a request; all requests sent by this method have the same fingerprint. */
  void send(String id, List<Integer> pieces) {
    send(id, pieces, BODY);
  }

  /** Sends a request whose fingerprint is not that of {@link #fingerprint}. */
  void sendOther(String id) {
    send(id, List.of(), "another body".getBytes(StandardCharsets.UTF_8));
  }

  /** Sends a request with its own body whose prompt has the given parts. */
  void sendPrompt(String id, String... parts) {
    sendPrompt(id, List.of(), parts);
  }

  /** Sends a request with stage work and its own body whose prompt has the given parts. */
  void sendPrompt(String id, List<Integer> pieces, String... parts) {
    handle(
        id,
        pieces,
        id.getBytes(StandardCharsets.UTF_8),
        Optional.empty(),
        Optional.empty(),
        Stream.of(parts).map(part -> new PromptPart(part, 100)).toList());
  }

  private void send(String id, List<Integer> pieces, byte[] body) {
    handle(id, pieces, body, Optional.empty(), Optional.empty(), List.of());
  }

  /** Sends a request that resumes the stream that another request began. */
  void resume(String id, String firstRequestId, Integer... pieces) {
    handle(id, List.of(pieces), BODY, Optional.of("1"), Optional.of(firstRequestId), List.of());
  }

  /** Sends a request that resumes a stream without naming the request that began it. */
  void resumeUnnamed(String id) {
    handle(id, List.of(), BODY, Optional.of("1"), Optional.empty(), List.of());
  }

  private void handle(
      String id,
      List<Integer> pieces,
      byte[] body,
      Optional<String> lastEventId,
      Optional<String> resumedRequestId,
      List<PromptPart> promptParts) {
    activeRequest =
        handler.handle(
            new RelayRequest(
                id,
                HttpMethod.POST,
                PATH,
                PATH,
                HOST,
                new DefaultHttpHeaders(),
                body,
                Optional.empty(),
                Optional.of("known-key"),
                lastEventId,
                resumedRequestId,
                promptParts,
                0,
                pieces,
                Optional.of("piece-key")),
            this);
    runPendingTasks();
  }

  /** Spends the retry budget of the service. */
  void spendRetryBudget() {
    while (retryBudget.trySpend("service")) {
      runPendingTasks();
    }
  }

  /** Closes the connection of the caller of the last request. */
  void disconnectCaller() {
    activeRequest.callerDisconnected();
    runPendingTasks();
  }

  /** Begins a stop that gives up requests in flight after a time. */
  void stopIn(long millis) {
    handler.stopAt(clock.nanos() + TimeUnit.MILLISECONDS.toNanos(millis));
  }

  RelayHandler handler() {
    return handler;
  }

  /** Advances the time and runs the tasks that are due. */
  void advance(long millis) {
    nowMillis += millis;
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    runPendingTasks();
  }

  /** Advances the clock without running timers. */
  void suspendMachine(long millis) {
    nowMillis += millis;
  }

  void runPendingTasks() {
    channel.runPendingTasks();
  }

  @Override
  public void refuse(Refusal refusal, long retryAfterMillis, String subject) {
    answers.add(refusal + " " + (refusal.notRun() ? retryAfterMillis : ""));
  }

  @Override
  public void answer(int status, HttpHeaders headers, ByteBuf body) {
    answers.add(String.valueOf(status));
    body.release();
  }

  @Override
  public void beginStream(int status, HttpHeaders headers) {
    answers.add("stream");
  }

  @Override
  public boolean sendEvents(ByteBuf content) {
    events.append(content.toString(StandardCharsets.UTF_8));
    content.release();
    return true;
  }

  @Override
  public void endStream() {
    answers.add("end");
  }

  @Override
  public void abort() {
    answers.add("abort");
  }
}
