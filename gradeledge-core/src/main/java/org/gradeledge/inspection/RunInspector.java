package org.gradeledge.inspection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.CallListener;
import org.gradeledge.connection.CancellableCall;
import org.gradeledge.connection.ResponseBuffer;
import org.gradeledge.connection.UpstreamCaller;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLog;
import org.gradeledge.limit.SendLimiter;

/**
 * Fetches reports of upstreams, one at a time from each; concurrent inspections share a report.
 * Confined to the event loop.
 *
 * @since 0.6
 */
public final class RunInspector {

  /** Time within which an upstream that is not overloaded accepts a connection and answers. */
  static final long TIMEOUT_MILLIS = 400;

  private static final int MAX_REPORT_BYTES = 1024 * 1024;

  private final UpstreamCaller caller;
  private final RunReportProtocol protocol;
  private final SendLimiter sendLimiter;
  private final EventLoop loop;
  private final EventLog events;
  private final Map<String, List<Consumer<Optional<RunReport>>>> pending = new HashMap<>();

  /** Creates an inspector; its requests count towards the limits of upstreams. */
  public RunInspector(
      UpstreamCaller caller,
      RunReportProtocol protocol,
      SendLimiter sendLimiter,
      EventLoop loop,
      EventLog events) {
    this.caller = caller;
    this.protocol = protocol;
    this.sendLimiter = sendLimiter;
    this.loop = loop;
    this.events = events;
  }

  /**
   * Fetches a report. The listener is called once, never before this method returns; with an empty
   * report if the upstream did not answer in time, offers none, or accepts no request now.
   */
  public void inspect(UpstreamRecord upstream, Consumer<Optional<RunReport>> listener) {
    List<Consumer<Optional<RunReport>>> listeners = pending.get(upstream.incarnationId());
    if (listeners != null) {
      listeners.add(listener);
      return;
    }
    pending.put(upstream.incarnationId(), new ArrayList<>(List.of(listener)));
    if (sendLimiter.admits(upstream)) {
      sendLimiter.recordSent(upstream);
      new ReportCall(upstream).start();
    } else {
      loop.execute(() -> completeWithout(upstream, "it accepts no request now"));
    }
  }

  private void complete(UpstreamRecord upstream, Optional<RunReport> report) {
    pending.remove(upstream.incarnationId()).forEach(listener -> listener.accept(report));
  }

  private void completeWithout(UpstreamRecord upstream, String reason) {
    events
        .problem("upstream-not-reporting")
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("why", reason)
        .write();
    complete(upstream, Optional.empty());
  }

  /** One request for a report. */
  private final class ReportCall implements CallListener {

    private final UpstreamRecord upstream;
    private final ResponseBuffer body = new ResponseBuffer(MAX_REPORT_BYTES);
    private int status;
    private boolean finished;

    ReportCall(UpstreamRecord upstream) {
      this.upstream = upstream;
    }

    void start() {
      CancellableCall call = caller.call(upstream, protocol.encodeRequest(upstream), this);
      loop.schedule(() -> timeOut(call), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void timeOut(CancellableCall call) {
      if (!finished) {
        call.cancel();
        fail("no answer in time");
      }
    }

    @Override
    public void onHead(int answerStatus, HttpHeaders headers) {
      status = answerStatus;
    }

    @Override
    public void onContent(ByteBuf content) {
      body.add(content);
    }

    @Override
    public void onComplete() {
      Optional<RunReport> report = protocol.decodeAnswer(status, body.toByteArray());
      if (report.isEmpty()) {
        fail("no readable report, status " + status);
      } else if (finish()) {
        complete(upstream, report);
      }
    }

    @Override
    public void onFailure(CallFailure failure) {
      fail(failure.name());
    }

    private void fail(String reason) {
      if (finish()) {
        completeWithout(upstream, reason);
      }
    }

    private boolean finish() {
      boolean first = !finished;
      finished = true;
      return first;
    }
  }
}
