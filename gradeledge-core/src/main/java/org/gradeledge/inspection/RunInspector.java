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
  private final Map<String, List<Consumer<Optional<RunReport>>>> pending = new HashMap<>();

  /** Creates an inspector; its requests count towards the limits of upstreams. */
  public RunInspector(
      UpstreamCaller caller, RunReportProtocol protocol, SendLimiter sendLimiter, EventLoop loop) {
    this.caller = caller;
    this.protocol = protocol;
    this.sendLimiter = sendLimiter;
    this.loop = loop;
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
      loop.execute(() -> complete(upstream, Optional.empty()));
    }
  }

  private void complete(UpstreamRecord upstream, Optional<RunReport> report) {
    pending.remove(upstream.incarnationId()).forEach(listener -> listener.accept(report));
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
        finish(Optional.empty());
      }
    }

    @Override
    public void onHead(int answerStatus, HttpHeaders headers) {
      status = answerStatus;
    }

    @Override
    public void onContent(ByteBuf content) {
      if (!body.add(content)) {
        finish(Optional.empty());
      }
    }

    @Override
    public void onComplete() {
      finish(protocol.decodeAnswer(status, body.toByteArray()));
    }

    @Override
    public void onFailure(CallFailure failure) {
      finish(Optional.empty());
    }

    private void finish(Optional<RunReport> report) {
      if (!finished) {
        finished = true;
        complete(upstream, report);
      }
    }
  }
}
