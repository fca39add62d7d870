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
public final class UnreadableSignals {

  /** Many more upstreams than say something odd at a time; about 100 kB. */
  private static final int KEPT = 1_024;

  private final EventLog events;
  private final String event;
  private final Map<String, String> textByStart = new LinkedHashMap<>();

  /**
   * Creates it; nothing was read yet.
   *
   * @param event name of the line
   */
  public UnreadableSignals(EventLog events, String event) {
    this.events = events;
    this.event = event;
  }

  /** Notes a text that cannot be read. */
  public void note(UpstreamRecord upstream, String text) {
    if (Objects.equals(textByStart.put(upstream.start(), text), text)) {
      return;
    }
    if (textByStart.size() > KEPT) {
      textByStart.remove(textByStart.keySet().iterator().next());
    }
    events
        .problem(event)
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("text", text)
        .write();
  }
}
