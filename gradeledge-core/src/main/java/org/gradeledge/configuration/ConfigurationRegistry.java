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
 * The versions that a box has in force and those it has prepared.
 *
 * <p>Only a higher version replaces a lower one. A box that has prepared a version and has not
 * learned its verdict within the doubt bound serves nothing of that pipeline until it has; the
 * bound is checked at each look-up, so that a frozen box checks before it serves. Thread-safe.
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

  /** Calls the listener after each version that comes into force. */
  public void addListener(ConfigurationListener listener) {
    listeners.add(listener);
  }

  /** Returns the version to admit a request under, or refuses "not run". */
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

  /** Returns the version in force, in doubt or not. */
  public Optional<PipelineVersion> findActive(String pipeline) {
    return Optional.ofNullable(active.get(pipeline));
  }

  /** Returns the number of the version in force, 0 where there is none. */
  public long activeVersionNumber(String pipeline) {
    return findActive(pipeline).map(PipelineVersion::version).orElse(0L);
  }

  /** Returns the numbers of all versions in force by pipeline. */
  public Map<String, Long> activeVersionNumbers() {
    return active.values().stream()
        .collect(Collectors.toMap(PipelineVersion::pipeline, PipelineVersion::version));
  }

  /** Returns everything in force. */
  public List<PipelineVersion> activeVersions() {
    return List.copyOf(active.values());
  }

  /** Returns the version prepared for a pipeline, if its verdict is still open. */
  public Optional<PipelineVersion> findPrepared(String pipeline) {
    return Optional.ofNullable(prepared.get(pipeline)).map(PreparedVersion::version);
  }

  /** Returns all versions whose verdicts are open. */
  public List<PipelineVersion> preparedVersions() {
    return prepared.values().stream().map(PreparedVersion::version).toList();
  }

  /**
   * Holds a version beside the one in force; its doubt bound runs from now. Preparing the same
   * submission again leaves the first time in place.
   *
   * @return whether it is prepared; not where another is, or where it is not newer than the one in
   *     force
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

  /** Brings an accepted version into force unless a higher one is; ends any doubt it settles. */
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
    Logger.info("version in force: pipeline={} version={}", pipeline, accepted.version());
    listeners.forEach(listener -> listener.onVersionActivated(accepted));
  }

  /** Brings the prepared version of a submission into force; returns whether it was held. */
  public synchronized boolean installPrepared(String pipeline, String submissionId) {
    Optional<PipelineVersion> held =
        findPrepared(pipeline).filter(version -> version.submissionId().equals(submissionId));
    held.ifPresent(this::install);
    return held.isPresent();
  }

  /** Drops the prepared version of a submission that was refused. */
  public synchronized void withdraw(String pipeline, String submissionId) {
    prepared.computeIfPresent(
        pipeline,
        (name, pending) -> pending.version().submissionId().equals(submissionId) ? null : pending);
  }

  private boolean isVerdictOverdue(PreparedVersion pending) {
    return clock.nanos() - pending.preparedAtNanos() >= doubtBound.toNanos();
  }
}
