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
 * Batches the pieces of all requests that are assigned to this box into shared upstream calls.
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
            builder.sendLimiter,
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
            builder.sendLimiter,
            builder.protocol,
            builder.events,
            builder.meter,
            builder.pendingPieces,
            builder.limits,
            this::release);
    builder.upstreams.onRetired(
        upstream ->
            Optional.ofNullable(queues.get(upstream.service())).ifPresent(BatchQueue::dispatch));
    builder.upstreams.onZonesChanged(() -> queues.values().forEach(BatchQueue::dispatch));
  }

  /**
   * Starts a group of pieces; the listener receives the result once, unless the group is cancelled.
   */
  public void submit(StageGroup group, StageWorkListener listener) {
    queueOf(group.service()).submit(group, listener);
  }

  /** Discards the pieces of a request that wait for a service. */
  public void cancel(String service, String requestId) {
    queueOf(service).cancel(requestId);
  }

  /** Releases results that are no longer required. */
  public void release(List<String> handles) {
    releaser.release(handles);
  }

  /** Returns the availability zone of the upstream that stores a result. */
  public Optional<String> zoneOf(String handle) {
    return context.zoneOf(handle);
  }

  /** Returns the upstream incarnation that stores a result, if this box made the call. */
  private Optional<String> incarnationOf(String handle) {
    return queues.values().stream()
        .flatMap(queue -> queue.incarnationOf(handle).stream())
        .findFirst();
  }

  private void onReleased(Collection<String> handles) {
    queues.values().forEach(queue -> queue.onReleased(handles));
  }

  /**
   * Returns the expected time in milliseconds to process the waiting and pending pieces of each
   * service. The element at index {@code p} covers the pieces of priority {@code p} and those that
   * precede them; the last element holds for all less urgent priorities as well.
   */
  public Map<String, List<Long>> backlogMillis() {
    queues.values().forEach(BatchQueue::expireResults);
    return queues.entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, each -> byPriority(each.getValue())));
  }

  /**
   * Returns the expected time in milliseconds to process the waiting and pending pieces of a
   * service that have the given priority or a more urgent one.
   */
  public long backlogMillisOf(String service, int priority) {
    BatchQueue queue = queues.get(service);
    return queue == null ? 0 : queue.backlogMillis(priority);
  }

  private static List<Long> byPriority(BatchQueue queue) {
    List<Long> millis =
        IntStream.range(0, PendingPieces.PRIORITY_LEVELS).mapToObj(queue::backlogMillis).toList();
    int levels = millis.size();
    while (levels > 1 && millis.get(levels - 1).equals(millis.get(levels - 2))) {
      levels--;
    }
    return millis.subList(0, levels);
  }

  private BatchQueue queueOf(String service) {
    return queues.computeIfAbsent(service, name -> new BatchQueue(name, context, loop));
  }

  /** Returns an empty builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a coordinator; all parts except the pending pieces, the send limiter and the meter are
   * required.
   */
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
    private StageMeter meter = StageMeter.NONE;
    private PendingPieces pendingPieces = new PendingPieces();
    private SendLimiter sendLimiter = SendLimiter.UNLIMITED;
    private Function<String, Optional<BatchLimits>> limits;

    private Builder() {}

    /** Sets the id of the box, its event loop and its clock. */
    public Builder box(String name, EventLoop eventLoop, MonotonicClock monotonicClock) {
      this.box = name;
      this.loop = eventLoop;
      this.clock = monotonicClock;
      return this;
    }

    /** Sets the registry of upstreams and the batch limits by service. */
    public Builder upstreams(
        UpstreamRegistry registry, Function<String, Optional<BatchLimits>> limitsByService) {
      this.upstreams = registry;
      this.limits = limitsByService;
      return this;
    }

    /** Sets the client that calls upstreams and the format of the calls. */
    public Builder calls(UpstreamCaller upstreamCaller, StageProtocol stageProtocol) {
      this.caller = upstreamCaller;
      this.protocol = stageProtocol;
      return this;
    }

    /** Sets the load table, the retry budget and the event log. */
    public Builder loadAndRetries(
        UpstreamLoads upstreamLoads, RetryBudget retryBudget, EventLog eventLog) {
      this.loads = upstreamLoads;
      this.retryBudget = retryBudget;
      this.events = eventLog;
      return this;
    }

    /** Sets the pieces that admitted requests will submit; none by default. */
    public Builder pendingPieces(PendingPieces pieces) {
      this.pendingPieces = pieces;
      return this;
    }

    /** Sets the limiter of the requests to an upstream; unlimited by default. */
    public Builder sendLimiter(SendLimiter limiter) {
      this.sendLimiter = limiter;
      return this;
    }

    /** Sets the meter of stage work; none by default. */
    public Builder meter(StageMeter stageMeter) {
      this.meter = stageMeter;
      return this;
    }

    /** Creates the coordinator. */
    public BatchCoordinator build() {
      return new BatchCoordinator(this);
    }
  }
}
