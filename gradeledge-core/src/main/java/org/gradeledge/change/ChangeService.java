package org.gradeledge.change;

import java.time.Clock;
import java.util.Objects;
import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.configuration.PipelineFileReader;
import org.gradeledge.membership.Membership;
import org.gradeledge.membership.MembershipService;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.platform.ObjectStore;
import org.gradeledge.platform.TableService;
import org.gradeledge.settings.TimingSettings;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * The components on one box that take part in configuration changes.
 *
 * @param coordinator coordinates submissions received by this box
 * @param fetcher fetches accepted versions that this box does not have
 * @param verdictApplier applies verdicts read from the table
 * @param abandonedSubmissionCleaner refuses submissions that stay staged for too long
 * @since 0.1
 */
public record ChangeService(
    ChangeCoordinator coordinator,
    VersionFetcher fetcher,
    VerdictApplier verdictApplier,
    AbandonedSubmissionCleaner abandonedSubmissionCleaner) {

  private static final int ABANDONMENT_TIMEOUT_FACTOR = 6;

  /** Returns a new builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a {@link ChangeService}; all values except the clock are required. Not thread-safe. */
  public static final class Builder {

    private @Nullable TableService table;
    private @Nullable ObjectStore objects;
    private @Nullable PeerNetwork peers;
    private @Nullable Membership membership;
    private @Nullable ConfigurationRegistry registry;
    private @Nullable BoxMetrics metrics;
    private @Nullable TimingSettings timing;
    private MonotonicClock clock = MonotonicClock.system();

    private Builder() {}

    /** Sets the platform's table and object store. */
    public Builder platform(TableService tableService, ObjectStore objectStore) {
      this.table = tableService;
      this.objects = objectStore;
      return this;
    }

    /** Sets the network that connects this box with its peers. */
    public Builder peers(PeerNetwork value) {
      this.peers = value;
      return this;
    }

    /** Sets the membership of this box. */
    public Builder membership(Membership value) {
      this.membership = value;
      return this;
    }

    /** Sets the registry of the pipeline versions on this box. */
    public Builder registry(ConfigurationRegistry value) {
      this.registry = value;
      return this;
    }

    /** Sets the metrics that count the results of changes. */
    public Builder metrics(BoxMetrics value) {
      this.metrics = value;
      return this;
    }

    /** Sets the timeouts of the change protocol. */
    public Builder timing(TimingSettings value) {
      this.timing = value;
      return this;
    }

    /** Sets the clock; the default is the system clock. */
    public Builder clock(MonotonicClock value) {
      this.clock = value;
      return this;
    }

    /** Creates the service and registers its message handlers with the peer network. */
    public ChangeService build() {
      TableService tableService = Objects.requireNonNull(table, "platform must be set");
      ObjectStore objectStore = Objects.requireNonNull(objects, "platform must be set");
      PeerNetwork network = Objects.requireNonNull(peers, "peers must be set");
      Membership boxMembership = Objects.requireNonNull(membership, "membership must be set");
      ConfigurationRegistry versions = Objects.requireNonNull(registry, "registry must be set");
      BoxMetrics boxMetrics = Objects.requireNonNull(metrics, "metrics must be set");
      TimingSettings timingSettings = Objects.requireNonNull(timing, "timing must be set");
      PipelineFileReader reader = new PipelineFileReader();
      VersionFetcher fetcher = new VersionFetcher(versions, network, objectStore, reader);
      fetcher.register();
      ChangeParticipant participant =
          new ChangeParticipant(versions, boxMembership, reader, fetcher);
      participant.register(network);
      SubmissionStore store = new SubmissionStore(tableService, objectStore, Clock.systemUTC());
      ParticipantClient participants =
          new ParticipantClient(
              network, boxMembership, participant, versions, timingSettings.prepareBound());
      return new ChangeService(
          new ChangeCoordinator(
              store,
              new MembershipService(tableService),
              participants,
              versions,
              boxMetrics,
              timingSettings.doubtBound()),
          fetcher,
          new VerdictApplier(versions, fetcher),
          new AbandonedSubmissionCleaner(
              store,
              timingSettings.prepareBound().multipliedBy(ABANDONMENT_TIMEOUT_FACTOR),
              clock));
    }
  }
}
