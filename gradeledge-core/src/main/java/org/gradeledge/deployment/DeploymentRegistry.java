package org.gradeledge.deployment;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gradeledge.event.EventLog;
import org.jspecify.annotations.Nullable;

/**
 * Holds the newest configuration of the box. Older revisions are ignored, and an unreadable
 * document leaves the current configuration in force.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.2
 */
public final class DeploymentRegistry {

  private static final int MAX_LOGGED_ACCOUNTS = 20;

  private final DeploymentReader reader;
  private final EventLog events;
  private final List<Consumer<Deployment>> listeners = new ArrayList<>();
  private @Nullable Deployment current;
  private long lastUnreadableLength = -1;

  /** Creates an empty registry. */
  public DeploymentRegistry(DeploymentReader reader, EventLog events) {
    this.reader = reader;
    this.events = events;
  }

  /** Adds a listener that is notified of each new configuration. */
  public void onChange(Consumer<Deployment> listener) {
    listeners.add(listener);
  }

  /** Returns the configuration in force, or empty if there is none yet. */
  public Optional<Deployment> current() {
    return Optional.ofNullable(current);
  }

  /** Returns the revision in force, or -1 if there is none yet. */
  public long revision() {
    return current == null ? -1 : current.revision();
  }

  /**
   * Applies a document if its revision is newer than the current one.
   *
   * @param source origin of the document, for the log
   */
  public void offer(byte[] document, String source) {
    reader
        .read(document)
        .peek(deployment -> apply(deployment, source))
        .peekLeft(reason -> rejectUnreadable(document, reason));
  }

  private void apply(Deployment deployment, String source) {
    if (deployment.revision() <= revision()) {
      return;
    }
    long previousRevision = revision();
    current = deployment;
    events
        .change("configuration-in-force")
        .with("revision", deployment.revision())
        .with("before", previousRevision)
        .with("source", source)
        .write();
    logAccountsThatAreNotForwardable(deployment);
    listeners.forEach(listener -> listener.accept(deployment));
  }

  private void logAccountsThatAreNotForwardable(Deployment deployment) {
    deployment.accounts().values().stream()
        .filter(account -> !account.isForwardable())
        .distinct()
        .limit(MAX_LOGGED_ACCOUNTS)
        .forEach(
            account ->
                events
                    .problem("account-not-forwardable")
                    .with("account", account.name())
                    .with("revision", deployment.revision())
                    .write());
  }

  private void rejectUnreadable(byte[] document, String reason) {
    if (lastUnreadableLength == document.length) {
      return;
    }
    lastUnreadableLength = document.length;
    events.change("configuration-unreadable").with("why", reason).with("kept", revision()).write();
  }
}
