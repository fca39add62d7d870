package org.gradeledge.discovery;

import java.util.Set;
import org.gradeledge.event.EventLog;

/** Writes a log line for each change of the known upstreams. */
final class UpstreamChangeLog {

  private final EventLog events;

  UpstreamChangeLog(EventLog events) {
    this.events = events;
  }

  void logChange(String event, UpstreamRecord upstream, long revision) {
    events
        .change(event)
        .with("upstream", upstream.id())
        .with("born", upstream.born())
        .with("service", upstream.service())
        .with("address", upstream.address())
        .with("revision", revision)
        .write();
  }

  /** Logs that an upstream has announced that it leaves, in a response or to a peer. */
  void logLeavingAnnouncement(UpstreamRecord upstream, String reporter) {
    events
        .change("upstream-announces-leaving")
        .with("upstream", upstream.id())
        .with("born", upstream.born())
        .with("service", upstream.service())
        .with("from", reporter)
        .write();
  }

  void logListenerFailure(RuntimeException failure) {
    events.problem("upstream-listener-failed").with("why", String.valueOf(failure)).write();
  }

  void logEvacuations(ZoneEvacuations evacuations, Set<String> before) {
    events
        .change("zones-evacuated")
        .with("zones", String.join(" ", evacuations.zones()))
        .with("before", String.join(" ", before))
        .with("revision", evacuations.revision())
        .write();
  }
}
