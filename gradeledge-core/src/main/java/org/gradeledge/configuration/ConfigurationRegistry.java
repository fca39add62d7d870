package org.gradeledge.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.tinylog.Logger;

/**
 * Registry of the active and the prepared version of each pipeline.
 *
 * <p>An active version is replaced only by a higher one. While a version has been prepared for
 * longer than the doubt bound and its verdict is still pending, the box refuses requests for that
 * pipeline. The bound is checked on each lookup, so it also holds after the process was suspended.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationRegistry {

  private final Map<String, PipelineVersion> active = new ConcurrentHashMap<>();
  private final Map<String, PreparedVersion> prepared = new ConcurrentHashMap<>();
  private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();
  private final MonotonicClock clock;
  private final Duration doubtBound;
  private final BoxMetrics metrics;

  /** Creates an empty registry. */
  public ConfigurationRegistry(MonotonicClock clock, Duration doubtBound, BoxMetrics metrics) {
    this.clock = clock;
    this.doubtBound = doubtBound;
    this.metrics = metrics;
  }

  /** Adds a listener that is called after each activation of a version. */
  public void addListener(ConfigurationListener listener) {
    listeners.add(listener);
  }

  /** Returns the version for a new request, or throws a {@link RefusalException}. */
  public PipelineVersion requireServing(String pipeline) {
    PreparedVersion pending = prepared.get(pipeline);
    if (pending != null && isVerdictOverdue(pending)) {
      throw RefusalException.forReason(RefusalReason.CONFIGURATION_IN_DOUBT)
          .detail("a change of " + pipeline + " was prepared and its verdict is not known yet")
          .build();
    }
    return findActive(pipeline)
        .orElseThrow(
            () ->
                RefusalException.forReason(RefusalReason.PIPELINE_UNKNOWN)
                    .detail("there is no pipeline of this name")
                    .build());
  }

  /** Returns the active version, even if a verdict is overdue. */
  public Optional<PipelineVersion> findActive(String pipeline) {
    return Optional.ofNullable(active.get(pipeline));
  }

  /** Returns the number of the active version, 0 if there is none. */
  public long activeVersionNumber(String pipeline) {
    return findActive(pipeline).map(PipelineVersion::version).orElse(0L);
  }

  /** Returns the numbers of all active versions by pipeline. */
  public Map<String, Long> activeVersionNumbers() {
    return active.values().stream()
        .collect(Collectors.toMap(PipelineVersion::pipeline, PipelineVersion::version));
  }

  /** Returns all active versions. */
  public List<PipelineVersion> activeVersions() {
    return List.copyOf(active.values());
  }

  /** Returns the prepared version of a pipeline whose verdict is pending. */
  public Optional<PipelineVersion> findPrepared(String pipeline) {
    return Optional.ofNullable(prepared.get(pipeline)).map(PreparedVersion::version);
  }

  /** Returns all prepared versions whose verdicts are pending. */
  public List<PipelineVersion> preparedVersions() {
    return prepared.values().stream().map(PreparedVersion::version).toList();
  }

  /**
   * Stores a proposed version beside the active one and starts its doubt bound. Preparing the same
   * submission again does not restart the bound.
   *
   * @return whether the version is prepared; false if another submission is prepared or the version
   *     is not higher than the active one
   */
  public synchronized boolean prepare(PipelineVersion proposed) {
    PreparedVersion pending = prepared.get(proposed.pipeline());
    if (pending != null) {
      return pending.version().submissionId().equals(proposed.submissionId());
    }
    if (proposed.version() <= activeVersionNumber(proposed.pipeline())) {
      return false;
    }
    prepared.put(proposed.pipeline(), new PreparedVersion(proposed, clock.nanos()));
    return true;
  }

  /** Activates an accepted version unless a higher one is active; drops superseded proposals. */
  public synchronized void install(PipelineVersion accepted) {
    String pipeline = accepted.pipeline();
    PreparedVersion pending = prepared.get(pipeline);
    if (pending != null && pending.version().version() <= accepted.version()) {
      prepared.remove(pipeline);
    }
    if (accepted.version() <= activeVersionNumber(pipeline)) {
      return;
    }
    active.put(pipeline, accepted);
    metrics.versionInForce(pipeline, accepted.version());
    metrics.stateChange("version-in-force");
    Logger.info("activated pipeline {} version {}", pipeline, accepted.version());
    listeners.forEach(listener -> listener.onVersionActivated(accepted));
  }

  /** Activates the prepared version of a submission; returns whether there was one. */
  public synchronized boolean installPrepared(String pipeline, String submissionId) {
    Optional<PipelineVersion> matching =
        findPrepared(pipeline).filter(version -> version.submissionId().equals(submissionId));
    matching.ifPresent(this::install);
    return matching.isPresent();
  }

  /** Drops the prepared version of a refused submission. */
  public synchronized void withdraw(String pipeline, String submissionId) {
    prepared.computeIfPresent(
        pipeline,
        (name, pending) -> pending.version().submissionId().equals(submissionId) ? null : pending);
  }

  private boolean isVerdictOverdue(PreparedVersion pending) {
    return clock.nanos() - pending.preparedAtNanos() >= doubtBound.toNanos();
  }
}
