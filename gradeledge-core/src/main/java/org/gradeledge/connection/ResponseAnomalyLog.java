package org.gradeledge.connection;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLog;

/**
 * Logs and counts data of upstreams that is not the response to the call in flight. Counts may be
 * read by any thread.
 *
 * @since 0.6
 */
public final class ResponseAnomalyLog {

  private final EventLog events;
  private final Map<ResponseAnomaly.Kind, LongAdder> counts =
      new EnumMap<>(ResponseAnomaly.Kind.class);

  /** Creates the log. */
  public ResponseAnomalyLog(EventLog events) {
    this.events = events;
    for (ResponseAnomaly.Kind kind : ResponseAnomaly.Kind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  /** Records an anomaly in the responses of an upstream. */
  public void record(UpstreamRecord upstream, ResponseAnomaly anomaly) {
    counts.get(anomaly.kind()).increment();
    events
        .step("upstream-" + anomaly.kind().label())
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("connection", anomaly.use().label())
        .with("awaited", anomaly.awaitedId())
        .with("received", anomaly.receivedId())
        .with("status", anomaly.status())
        .with("ms", anomaly.millis())
        .with("text", anomaly.text())
        .write();
  }

  /** Returns the number of anomalies of a kind so far. */
  public long count(ResponseAnomaly.Kind kind) {
    return counts.get(kind).sum();
  }
}
