package org.gradeledge.inspection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.ConnectionReuse;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.connection.PooledUpstreamCaller;
import org.gradeledge.connection.ScriptedUpstream;
import org.gradeledge.connection.ScriptedUpstream.End;
import org.gradeledge.connection.UpstreamConnectors;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.limit.SendLimiter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Reports of upstreams that end before their last byte. */
@Timeout(60)
class CutReportTests {

  private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final ScriptedUpstream upstream = new ScriptedUpstream();
  private final RunInspector inspector =
      new RunInspector(
          new PooledUpstreamCaller(
              loop, UpstreamConnectors.withoutTunnels(loop), target -> 1, System::nanoTime),
          new AnyTextReport(),
          SendLimiter.UNLIMITED,
          loop,
          EventLogs.silent());
  private final BlockingQueue<Optional<RunReport>> reports = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() throws IOException {
    upstream.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  // Guards against a report that is cut and read as a whole one, or waited for without end.
  @ParameterizedTest
  @EnumSource(End.class)
  void cutReportIsNoReport(End end) throws Exception {
    for (int length = 0; length < WHOLE.length(); length++) {
      inspect("u" + length, WHOLE.substring(0, length), end);
    }

    for (int length = 0; length < WHOLE.length(); length++) {
      assertThat(reports.take()).isEmpty();
    }
  }

  /** Repeats a request, which may exceed the time limit on a machine with other load. */
  @ParameterizedTest
  @EnumSource(End.class)
  void wholeReportIsRead(End end) throws Exception {
    Optional<RunReport> report = Optional.empty();
    while (report.isEmpty()) {
      inspect("u", WHOLE, end);
      report = reports.take();
    }

    assertThat(report).contains(new RunReport(0, Map.of("whole", 0L)));
  }

  private void inspect(String id, String response, End end) {
    upstream.respond("/" + id, response, end);
    loop.submit(() -> inspector.inspect(upstream.upstream(id), reports::add)).syncUninterruptibly();
  }

  /** Accepts any text as a report of one run, and requests it from a path of each upstream. */
  private static final class AnyTextReport implements RunReportProtocol {

    @Override
    public OutgoingRequest encodeRequest(UpstreamRecord target) {
      return new OutgoingRequest(
          HttpMethod.GET,
          "/" + target.id(),
          new DefaultHttpHeaders().set("Host", "a"),
          new byte[0],
          Optional.empty(),
          ConnectionReuse.NONE);
    }

    @Override
    public Optional<RunReport> decodeAnswer(int status, byte[] body) {
      String text = new String(body, StandardCharsets.US_ASCII);
      return Optional.of(new RunReport(0, Map.of(text, 0L)));
    }
  }
}
