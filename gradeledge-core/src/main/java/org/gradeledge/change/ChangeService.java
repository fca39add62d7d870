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
 * Everything that takes part in changes on one box, put together.
 *
 * @param coordinator for submissions made at this box
 * @param fetcher for versions that this box lacks
 * @param verdictApplier for verdicts read from the table
 * @param abandonedSubmissionCleaner for submissions whose submitter died
 * @since 0.1
 */
public record ChangeService(
    ChangeCoordinator coordinator,
    VersionFetcher fetcher,
    VerdictApplier verdictApplier,
    AbandonedSubmissionCleaner abandonedSubmissionCleaner) {

  private static final int ABANDONMENT_TIMEOUT_FACTOR = 6;

  /** Starts a service. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a {@link ChangeService}; every part must be set. Not thread-safe. */
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

    /** Sets the platform's services. */
    public Builder platform(TableService tableService, ObjectStore objectStore) {
      this.table = tableService;
      this.objects = objectStore;
      return this;
    }

    /** Sets the connections to peers. */
    public Builder peers(PeerNetwork value) {
      this.peers = value;
      return this;
    }

    /** Sets what this box knows of the members. */
    public Builder membership(Membership value) {
      this.membership = value;
      return this;
    }

    /** Sets the versions of this box. */
    public Builder registry(ConfigurationRegistry value) {
      this.registry = value;
      return this;
    }

    /** Sets the metrics. */
    public Builder metrics(BoxMetrics value) {
      this.metrics = value;
      return this;
    }

    /** Sets the bounds. */
    public Builder timing(TimingSettings value) {
      this.timing = value;
      return this;
    }

    /** Sets the clock; the machine's where not set. */
    public Builder clock(MonotonicClock value) {
      this.clock = value;
      return this;
    }

    /** Returns the service, registered with the peers. */
    public ChangeService build() {
      TableService tableService = Objects.requireNonNull(table, "platform must be set");
      ObjectStore objectStore = Objects.requireNonNull(objects, "platform must be set");
      PeerNetwork network = Objects.requireNonNull(peers, "peers must be set");
      Membership self = Objects.requireNonNull(membership, "membership must be set");
      ConfigurationRegistry versions = Objects.requireNonNull(registry, "registry must be set");
      BoxMetrics counters = Objects.requireNonNull(metrics, "metrics must be set");
      TimingSettings bounds = Objects.requireNonNull(timing, "timing must be set");
      PipelineFileReader reader = new PipelineFileReader();
      VersionFetcher fetcher = new VersionFetcher(versions, network, objectStore, reader);
      fetcher.register();
      ChangeParticipant participant = new ChangeParticipant(versions, self, reader, fetcher);
      participant.register(network);
      SubmissionStore store = new SubmissionStore(tableService, objectStore, Clock.systemUTC());
      ParticipantClient preparation =
          new ParticipantClient(network, self, participant, versions, bounds.prepareBound());
      return new ChangeService(
          new ChangeCoordinator(
              store,
              new MembershipService(tableService),
              preparation,
              versions,
              counters,
              bounds.doubtBound()),
          fetcher,
          new VerdictApplier(versions, fetcher),
          new AbandonedSubmissionCleaner(
              store, bounds.prepareBound().multipliedBy(ABANDONMENT_TIMEOUT_FACTOR), clock));
    }
  }
}
