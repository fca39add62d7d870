package org.gradeledge.batch;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gradeledge.connection.LivenessChecker;
import org.gradeledge.connection.UpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;

/**
 * Makes the pieces of all requests that are handed to this box, in shared calls.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.2
 */
public final class BatchCoordinator {

  private final EventLoop loop;
  private final BatchContext context;
  private final ResultReleaser releaser;
  private final Map<String, BatchQueue> queues = new HashMap<>();

  private BatchCoordinator(Builder builder) {
    this.loop = builder.loop;
    this.releaser =
        new ResultReleaser(
            loop,
            builder.caller,
            builder.upstreams,
            builder.protocol,
            builder.sendingRule,
            this::incarnationOf,
            this::onReleased);
    this.context =
        new BatchContext(
            builder.box,
            builder.clock,
            builder.upstreams,
            builder.loads,
            builder.retryBudget,
            builder.caller,
            new LivenessChecker(builder.caller, builder.upstreams::hasLeft),
            builder.sendingRule,
            builder.protocol,
            builder.events,
            builder.pendingPieces,
            builder.limits,
            this::release);
    builder.upstreams.onRetired(
        upstream ->
            Optional.ofNullable(queues.get(upstream.service())).ifPresent(BatchQueue::dispatch));
    builder.upstreams.onZonesChanged(() -> queues.values().forEach(BatchQueue::dispatch));
  }

  /** Starts the work on a group; the listener hears once how it ended, unless it is cancelled. */
  public void submit(StageGroup group, StageWorkListener listener) {
    queueOf(group.service()).submit(group, listener);
  }

  /** Drops the pieces of a request that wait for a service. */
  public void cancel(String service, String requestId) {
    queueOf(service).cancel(requestId);
  }

  /** Gives results up that nobody needs any more. */
  public void release(List<String> handles) {
    releaser.release(handles);
  }

  /** Returns the zone that a result lies in. */
  public Optional<String> zoneOf(String handle) {
    return context.zoneOf(handle);
  }

  /** Returns which start of an upstream made a result, if that was called from here. */
  private Optional<String> incarnationOf(String handle) {
    return queues.values().stream()
        .flatMap(queue -> queue.incarnationOf(handle).stream())
        .findFirst();
  }

  private void onReleased(Collection<String> handles) {
    queues.values().forEach(queue -> queue.onReleased(handles));
  }

  /**
   * Returns how long what waits here or is on its way keeps each service busy, in milliseconds: for
   * each priority from 0 what is as urgent or more; priorities after the first that has all of it
   * are left out, as heartbeats carry these lists.
   */
  public Map<String, List<Long>> backlogMillis() {
    queues.values().forEach(BatchQueue::expireResults);
    return queues.entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, each -> byPriority(each.getValue())));
  }

  /**
   * Returns how long what waits here for a service, or is on its way to it, and is as urgent as a
   * priority or more keeps its upstreams busy, in milliseconds.
   */
  public long backlogMillisOf(String service, int priority) {
    BatchQueue queue = queues.get(service);
    return queue == null ? 0 : queue.backlogMillis(priority);
  }

  private static List<Long> byPriority(BatchQueue queue) {
    long all = queue.backlogMillis(PendingPieces.PRIORITY_LEVELS - 1);
    Stream<Long> rising =
        IntStream.range(0, PendingPieces.PRIORITY_LEVELS)
            .mapToObj(queue::backlogMillis)
            .takeWhile(millis -> millis < all);
    return Stream.concat(rising, Stream.of(all)).toList();
  }

  private BatchQueue queueOf(String service) {
    return queues.computeIfAbsent(service, name -> new BatchQueue(name, context, loop));
  }

  /** Returns a builder without any part. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a coordinator; all but the pieces to come and a rule on sending must be given. */
  public static final class Builder {

    private String box;
    private EventLoop loop;
    private MonotonicClock clock;
    private UpstreamRegistry upstreams;
    private UpstreamLoads loads;
    private RetryBudget retryBudget;
    private UpstreamCaller caller;
    private StageProtocol protocol;
    private EventLog events;
    private PendingPieces pendingPieces = new PendingPieces();
    private SendLimiter sendingRule = SendLimiter.UNLIMITED;
    private Function<String, Optional<BatchLimits>> limits;

    private Builder() {}

    /** Sets the name of the box and where its work is done. */
    public Builder box(String name, EventLoop eventLoop, MonotonicClock monotonicClock) {
      this.box = name;
      this.loop = eventLoop;
      this.clock = monotonicClock;
      return this;
    }

    /** Sets where the upstreams and their limits are known. */
    public Builder upstreams(
        UpstreamRegistry registry, Function<String, Optional<BatchLimits>> limitsOf) {
      this.upstreams = registry;
      this.limits = limitsOf;
      return this;
    }

    /** Sets how upstreams are called. */
    public Builder calls(UpstreamCaller upstreamCaller, StageProtocol stageProtocol) {
      this.caller = upstreamCaller;
      this.protocol = stageProtocol;
      return this;
    }

    /** Sets what the box believes of upstreams, and what it may repeat. */
    public Builder loadAndRetries(
        UpstreamLoads loadBoard, RetryBudget retryBudget, EventLog eventLog) {
      this.loads = loadBoard;
      this.retryBudget = retryBudget;
      this.events = eventLog;
      return this;
    }

    /** Sets the pieces that are on their way, none if not given. */
    public Builder pendingPieces(PendingPieces piecesToCome) {
      this.pendingPieces = piecesToCome;
      return this;
    }

    /** Sets which upstreams take one more request now; all do if it is not given. */
    public Builder sendingRule(SendLimiter rule) {
      this.sendingRule = rule;
      return this;
    }

    /** Returns the coordinator. */
    public BatchCoordinator build() {
      return new BatchCoordinator(this);
    }
  }
}
