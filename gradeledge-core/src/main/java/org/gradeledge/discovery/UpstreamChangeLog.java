package org.gradeledge.discovery;

import java.util.Set;
import org.gradeledge.event.EventLog;

/** Writes one line for each change of what is believed of upstreams. */
final class UpstreamChangeLog {

  private final EventLog events;

  UpstreamChangeLog(EventLog events) {
    this.events = events;
  }

  void write(String what, UpstreamRecord upstream, long revision) {
    events
        .change(what)
        .with("upstream", upstream.id())
        .with("born", upstream.born())
        .with("service", upstream.service())
        .with("address", upstream.address())
        .with("revision", revision)
        .write();
  }

  /** Writes that an upstream has said that it leaves, in an answer or to another box. */
  void writeAnnounced(UpstreamRecord upstream, String from) {
    events
        .change("upstream-announces-leaving")
        .with("upstream", upstream.id())
        .with("born", upstream.born())
        .with("service", upstream.service())
        .with("from", from)
        .write();
  }

  void listenerFailed(RuntimeException failure) {
    events.problem("upstream-listener-failed").with("why", String.valueOf(failure)).write();
  }

  void writeZones(ZoneEvacuations now, Set<String> before) {
    events
        .change("zones-evacuated")
        .with("zones", String.join(" ", now.zones()))
        .with("before", String.join(" ", before))
        .with("revision", now.revision())
        .write();
  }
}
