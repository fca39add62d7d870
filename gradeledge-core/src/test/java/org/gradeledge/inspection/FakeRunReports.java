package org.gradeledge.inspection;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.gradeledge.connection.ConnectionReuse;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.discovery.UpstreamRecord;

/** Reports of upstreams that a test writes. */
public final class FakeRunReports implements RunReportProtocol {

  private static final int OK = 200;

  private final FakeUpstreamCaller caller;
  private final Map<String, Long> eventsByRequest = new HashMap<>();
  private final List<RunReport> answered = new ArrayList<>();

  /** Creates reports without runs, which are requested from a fake caller. */
  public FakeRunReports(FakeUpstreamCaller caller) {
    this.caller = caller;
  }

  /** Sets the number of events of a run. */
  public void setEvents(String requestId, long events) {
    eventsByRequest.put(requestId, events);
  }

  /** Answers the pending requests for reports with the same runs at all upstreams. */
  public void answer() throws InterruptedException {
    answer(upstream -> new RunReport(0, eventsByRequest));
  }

  /** Answers the pending requests for reports. */
  public void answer(Function<UpstreamRecord, RunReport> reports) throws InterruptedException {
    while (!caller.hasNoCalls()) {
      FakeUpstreamCaller.Call call = caller.nextCall();
      answered.add(reports.apply(call.target()));
      call.respond(OK, String.valueOf(answered.size() - 1));
    }
  }

  @Override
  public OutgoingRequest encodeRequest(UpstreamRecord target) {
    return new OutgoingRequest(
        HttpMethod.GET,
        "/report",
        new DefaultHttpHeaders(),
        new byte[0],
        Optional.empty(),
        ConnectionReuse.NONE);
  }

  @Override
  public Optional<RunReport> decodeAnswer(int status, byte[] body) {
    int number = Integer.parseInt(new String(body, StandardCharsets.UTF_8));
    return Optional.of(answered.get(number));
  }
}
