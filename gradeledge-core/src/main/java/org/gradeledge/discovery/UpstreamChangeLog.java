package org.gradeledge.discovery;

import java.util.Set;
import org.gradeledge.event.EventLog;

/** Writes one line for each change of what is believed of upstreams. */
final class UpstreamChangeLog {

  private final EventLog events;

  UpstreamChangeLog(EventLog events) {
    this.events = events;
  }

  void logChange(String what, UpstreamRecord upstream, long revision) {
    events
        .change(what)
        .with("upstream", upstream.id())
        .with("born", upstream.startedAtMillis())
        .with("service", upstream.service())
        .with("address", upstream.address())
        .with("revision", revision)
        .write();
  }

  /** Writes that an upstream has said that it leaves, in an answer or to another box. */
  void logLeavingAnnouncement(UpstreamRecord upstream, String from) {
    events
        .change("upstream-announces-leaving")
        .with("upstream", upstream.id())
        .with("born", upstream.startedAtMillis())
        .with("service", upstream.service())
        .with("from", from)
        .write();
  }

  void logListenerFailure(RuntimeException failure) {
    events.problem("upstream-listener-failed").with("why", String.valueOf(failure)).write();
  }

  void logEvacuations(ZoneEvacuations now, Set<String> before) {
    events
        .change("zones-evacuated")
        .with("zones", String.join(" ", now.zones()))
        .with("before", String.join(" ", before))
        .with("revision", now.revision())
        .write();
  }
}
