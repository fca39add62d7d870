package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.ResponseAnomaly.Kind;
import org.junit.jupiter.api.Test;

class ResponseAnomalyReporterTests {

  private static final String ID_HEADER = "X-Request-Id";

  private final List<ResponseAnomaly> anomalies = new ArrayList<>();
  private long nowNanos;
  private final ResponseAnomalyReporter reporter =
      new ResponseAnomalyReporter(12, new RecordingObserver(), () -> nowNanos);

  @Test
  void responseToAnotherCallIsReportedWithBothIds() {
    reporter.callSent(call("first"));
    reporter.callEnded();
    reporter.callSent(call("second"));
    advanceMillis(40);

    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.ACCEPTED);
    response.headers().set(ID_HEADER, "first");
    reporter.reportOtherResponse(response);

    assertThat(anomalies)
        .containsExactly(
            new ResponseAnomaly(
                Kind.OTHER_RESPONSE,
                new ConnectionUse(12, 2),
                "second",
                "first",
                202,
                "Accepted",
                40));
  }

  @Test
  void idleDataIsReportedWithTheTimeSinceTheLastCall() {
    reporter.callSent(call("first"));
    advanceMillis(40);
    reporter.callEnded();
    advanceMillis(7);

    reporter.reportIdleData("HTTP/1.1 200 O");

    assertThat(anomalies)
        .containsExactly(
            new ResponseAnomaly(
                Kind.IDLE_DATA, new ConnectionUse(12, 1), "", "", 0, "HTTP/1.1 200 O", 7));
  }

  @Test
  void reportedTextIsBounded() {
    reporter.reportIdleData("x".repeat(1_000));

    assertThat(anomalies.get(0).text()).hasSizeLessThan(200);
  }

  private void advanceMillis(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static CallInProgress call(String id) {
    OutgoingRequest request =
        new OutgoingRequest(
            HttpMethod.GET,
            "/",
            new DefaultHttpHeaders(),
            new byte[0],
            Optional.of(new CorrelationHeader(ID_HEADER, id)),
            ConnectionReuse.ANY);
    return new CallInProgress(request, new IgnoringListener());
  }

  private final class RecordingObserver implements ConnectionObserver {

    @Override
    public void onHead(ResponseHead head) {}

    @Override
    public void onAnomaly(ResponseAnomaly anomaly) {
      anomalies.add(anomaly);
    }
  }

  /** Ignores all events of a call. */
  private static final class IgnoringListener implements CallListener {

    @Override
    public void onHead(int status, HttpHeaders headers) {}

    @Override
    public void onContent(ByteBuf content) {}

    @Override
    public void onComplete() {}

    @Override
    public void onFailure(CallFailure failure) {}
  }
}
