package org.gradeledge.deployment;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gradeledge.event.EventLog;
import org.jspecify.annotations.Nullable;

/**
 * The newest configuration that the box holds. It never goes back: an older revision is passed
 * over, and a document that cannot be read leaves the last good one in force.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.2
 */
public final class DeploymentRegistry {

  private final DeploymentReader reader;
  private final EventLog events;
  private final List<Consumer<Deployment>> listeners = new ArrayList<>();
  private @Nullable Deployment current;
  private long lastUnreadableLength = -1;

  /** Creates a registry that holds nothing yet. */
  public DeploymentRegistry(DeploymentReader reader, EventLog events) {
    this.reader = reader;
    this.events = events;
  }

  /** Tells a listener of each configuration taken on from now on. */
  public void onChange(Consumer<Deployment> listener) {
    listeners.add(listener);
  }

  /** Returns the configuration in force, empty until the first is known. */
  public Optional<Deployment> current() {
    return Optional.ofNullable(current);
  }

  /** Returns the revision in force, -1 until the first is known. */
  public long revision() {
    return current == null ? -1 : current.revision();
  }

  /**
   * Takes a document on where it is newer than what is held.
   *
   * @param source who it was learned from, for the log
   */
  public void offer(byte[] document, String source) {
    reader
        .read(document)
        .peek(next -> apply(next, source))
        .peekLeft(why -> rejectUnreadable(document, why));
  }

  private void apply(Deployment next, String source) {
    if (next.revision() <= revision()) {
      return;
    }
    long before = revision();
    current = next;
    events
        .change("configuration-in-force")
        .with("revision", next.revision())
        .with("before", before)
        .with("source", source)
        .write();
    listeners.forEach(listener -> listener.accept(next));
  }

  private void rejectUnreadable(byte[] document, String why) {
    if (lastUnreadableLength == document.length) {
      return;
    }
    lastUnreadableLength = document.length;
    events.change("configuration-unreadable").with("why", why).with("kept", revision()).write();
  }
}
