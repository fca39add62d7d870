package org.gradeledge.discovery;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.gradeledge.event.EventLog;

/**
 * Tells of what upstreams say of one matter that cannot be read: one line for each upstream and
 * text, however often it says so. Confined to the event loop.
 *
 * @since 0.5
 */
public final class UnreadableSignalLog {

  /** Many more upstreams than say something odd at a time; about 100 kB. */
  private static final int MAX_ENTRIES = 1_024;

  private final EventLog events;
  private final String event;
  private final Map<String, String> textByIncarnation = new LinkedHashMap<>();

  /**
   * Creates it; nothing was read yet.
   *
   * @param event name of the line
   */
  public UnreadableSignalLog(EventLog events, String event) {
    this.events = events;
    this.event = event;
  }

  /** Notes a text that cannot be read. */
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
