package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.gradeledge.connection.ConnectionReuse;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.connection.PooledUpstreamCaller;
import org.gradeledge.connection.ScriptedUpstream;
import org.gradeledge.connection.ScriptedUpstream.End;
import org.gradeledge.connection.UpstreamConnectors;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Calls for stage work whose first response ends before its last byte. */
@Timeout(60)
class CutStageResponseTests {

  private static final BatchLimits LIMITS = new BatchLimits(1, 4, 200, 10, 1_000_000, 60_000);
  private static final int MANY_CONNECTIONS = 8;
  private static final double MANY_RETRIES = 100;
  private static final String FIRST = response("10.0.0.1:1/first");
  private static final String SECOND = response("10.0.0.1:1/second");

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final ScriptedUpstream upstream = new ScriptedUpstream();
  private final BlockingQueue<StageGroupResult> results = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() throws IOException {
    upstream.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  // Guards against part of a response for stage work whose handles are passed on to a request.
  @ParameterizedTest
  @EnumSource(End.class)
  void resultsOfACutResponseAreNotUsed(End end) throws Exception {
    upstream.respond("/free", response(""), End.CLOSE);
    upstream.respond("/second", SECOND, End.CLOSE);
    for (int length = 0; length < FIRST.length(); length++) {
      submit("/" + length, FIRST.substring(0, length), end);
    }

    for (int length = 0; length < FIRST.length(); length++) {
      assertThat(results.take().handles()).containsExactly("10.0.0.1:1/second");
    }
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void resultsOfAWholeResponseAreUsed(End end) throws Exception {
    upstream.respond("/second", FIRST, end);
    submit("/first", FIRST, end);

    assertThat(results.take().handles()).containsExactly("10.0.0.1:1/first");
  }

  private static String response(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Submits a piece to a coordinator of its own, whose first call goes to a path of its own. */
  private void submit(String firstPath, String firstResponse, End end) {
    upstream.respond(firstPath, firstResponse, end);
    loop.submit(() -> newCoordinator(firstPath).submit(StageGroups.group("a", 1), results::add))
        .syncUninterruptibly();
  }

  private BatchCoordinator newCoordinator(String firstPath) {
    MonotonicClock clock = MonotonicClock.system();
    UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
    upstreams.replaceAll(1, List.of(upstream.upstream("u1"), upstream.upstream("u2")));
    return BatchCoordinator.builder()
        .box("box", loop, clock)
        .upstreams(upstreams, service -> Optional.of(LIMITS))
        .calls(
            new PooledUpstreamCaller(
                loop, UpstreamConnectors.withoutTunnels(loop), target -> MANY_CONNECTIONS, clock),
            new PathOfEachCall(firstPath))
        .loadAndRetries(
            new UpstreamLoads(clock, EventLogs.silent()),
            new RetryBudget(clock, 0, MANY_RETRIES, Duration.ofSeconds(10), () -> 1),
            EventLogs.silent())
        .build();
  }

  /** Sends the first call to a given path and all others to a common one. */
  private static final class PathOfEachCall implements StageProtocol {

    private final FakeStageProtocol format = new FakeStageProtocol();
    private final AtomicInteger calls = new AtomicInteger();
    private final String firstPath;

    PathOfEachCall(String firstPath) {
      this.firstPath = firstPath;
    }

    @Override
    public OutgoingRequest encodeCall(UpstreamRecord target, List<CallItem> items) {
      String path = calls.getAndIncrement() == 0 ? firstPath : "/second";
      return withPath(path, format.encodeCall(target, items));
    }

    private static OutgoingRequest withPath(String path, OutgoingRequest request) {
      return new OutgoingRequest(
          request.method(),
          path,
          new DefaultHttpHeaders().set("Host", "a"),
          request.body(),
          request.correlationHeader(),
          ConnectionReuse.NONE);
    }

    @Override
    public Either<String, List<PieceResult>> decodeAnswer(byte[] body, int items) {
      return format.decodeAnswer(body, items);
    }

    @Override
    public OutgoingRequest encodeRelease(UpstreamRecord target, List<String> handles) {
      return withPath("/free", format.encodeRelease(target, handles));
    }

    @Override
    public String addressOf(String handle) {
      return format.addressOf(handle);
    }
  }
}
