package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.gradeledge.connection.ResponseAnomaly.Kind;
import org.gradeledge.time.MonotonicClock;

/** Reports anomalies in the responses on one connection. Confined to the event loop. */
final class ResponseAnomalyReporter {

  private static final int MAX_TEXT_LENGTH = 160;

  private final long connection;
  private final ConnectionObserver observer;
  private final MonotonicClock clock;
  private Optional<CorrelationHeader> awaited = Optional.empty();
  private int callCount;
  private long sinceNanos;

  ResponseAnomalyReporter(long connection, ConnectionObserver observer, MonotonicClock clock) {
    this.connection = connection;
    this.observer = observer;
    this.clock = clock;
    this.sinceNanos = clock.nanos();
  }

  /** Records that a call is now in flight. */
  void callSent(CallInProgress call) {
    callCount++;
    awaited = call.request().correlationHeader();
    sinceNanos = clock.nanos();
  }

  /** Records that no call is in flight. */
  void callEnded() {
    awaited = Optional.empty();
    sinceNanos = clock.nanos();
  }

  /** Identifies the call in flight, or the last one. */
  ConnectionUse use() {
    return new ConnectionUse(connection, callCount);
  }

  void reportIdleData(String data) {
    report(Kind.IDLE_DATA, "", 0, data);
  }

  void reportInvalidResponse(String reason) {
    report(Kind.INVALID_RESPONSE, "", 0, reason);
  }

  /** Reports a response with the id of another call. */
  void reportOtherResponse(HttpResponse response) {
    report(
        Kind.OTHER_RESPONSE,
        awaited.map(expected -> response.headers().get(expected.header(), "")).orElse(""),
        response.status().code(),
        response.status().reasonPhrase());
  }

  private void report(Kind kind, String receivedId, int status, String text) {
    observer.onAnomaly(
        new ResponseAnomaly(
            kind,
            use(),
            awaited.map(CorrelationHeader::value).orElse(""),
            receivedId,
            status,
            text.substring(0, Math.min(text.length(), MAX_TEXT_LENGTH)),
            (clock.nanos() - sinceNanos) / 1_000_000));
  }
}
