package org.gradeledge.discovery;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.gradeledge.event.EventLog;

/**
 * Logs signals of upstreams that cannot be parsed, one line for each upstream and text however
 * often it is repeated. Confined to the event loop.
 *
 * @since 0.5
 */
public final class UnreadableSignalLog {

  /** Many more upstreams than send unreadable signals at a time; about 100 kB. */
  private static final int MAX_ENTRIES = 1_024;

  private final EventLog events;
  private final String event;
  private final Map<String, String> textByIncarnation = new LinkedHashMap<>();

  /**
   * Creates a log without entries.
   *
   * @param event event name of the log line
   */
  public UnreadableSignalLog(EventLog events, String event) {
    this.events = events;
    this.event = event;
  }

  /** Logs a text that cannot be parsed, unless it was the last one of this upstream. */
  public void report(UpstreamRecord upstream, String text) {
    if (Objects.equals(textByIncarnation.put(upstream.incarnationId(), text), text)) {
      return;
    }
    if (textByIncarnation.size() > MAX_ENTRIES) {
      textByIncarnation.remove(textByIncarnation.keySet().iterator().next());
    }
    events
        .problem(event)
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("text", text)
        .write();
  }
}
