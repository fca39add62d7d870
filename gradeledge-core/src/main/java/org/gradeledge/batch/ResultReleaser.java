package org.gradeledge.batch;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.CallListener;
import org.gradeledge.connection.UpstreamCaller;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.limit.SendLimiter;

/**
 * Gives up results at the upstreams that hold them, many in one call. A call that fails is not
 * repeated: the upstream forgets results by itself. Confined to the event loop.
 */
final class ResultReleaser {

  private static final long COLLECTION_MILLIS = 8;

  /** As long as calls wait for an upstream that names a limit: a few times a turn of it. */
  private static final long DEFERRAL_MILLIS = 100;

  /** Some times longer than results are kept that nobody gives up. */
  private static final double MAX_DEFERRAL_MILLIS = 30_000;

  private final EventLoop loop;
  private final UpstreamCaller caller;
  private final UpstreamRegistry upstreams;
  private final StageProtocol protocol;
  private final SendLimiter sendingRule;
  private final Function<String, Optional<String>> incarnationOf;
  private final Consumer<Collection<String>> onReleased;
  private final CollectedHandles pending = new CollectedHandles(COLLECTION_MILLIS);
  private final CollectedHandles deferred = new CollectedHandles(DEFERRAL_MILLIS);

  ResultReleaser(
      EventLoop loop,
      UpstreamCaller caller,
      UpstreamRegistry upstreams,
      StageProtocol protocol,
      SendLimiter sending,
      Function<String, Optional<String>> makerOf,
      Consumer<Collection<String>> onReleased) {
    this.loop = loop;
    this.caller = caller;
    this.upstreams = upstreams;
    this.protocol = protocol;
    this.sendingRule = sending;
    this.incarnationOf = makerOf;
    this.onReleased = onReleased;
  }

  void release(List<String> handles) {
    handles.forEach(handle -> pending.add(protocol.addressOf(handle), List.of(handle)));
  }

  /** Handles that go together once a while has passed since the first of them came. */
  private final class CollectedHandles {

    private final long delayMillis;
    private final Map<String, List<String>> byAddress = new HashMap<>();

    CollectedHandles(long millis) {
      this.delayMillis = millis;
    }

    void add(String address, List<String> handles) {
      if (byAddress.isEmpty()) {
        loop.schedule(this::flush, delayMillis, TimeUnit.MILLISECONDS);
      }
      byAddress.computeIfAbsent(address, first -> new ArrayList<>()).addAll(handles);
    }

    private void flush() {
      Map<String, List<String>> flushed = Map.copyOf(byAddress);
      byAddress.clear();
      upstreams.all().stream()
          .filter(upstream -> flushed.containsKey(upstream.address()))
          .filter(upstream -> !upstreams.isEvacuated(upstream))
          .toList()
          .forEach(upstream -> send(upstream, flushed.get(upstream.address())));
    }
  }

  /**
   * A release is a request like others; one that has to wait gathers what comes meanwhile. Where
   * the upstream takes it only after a long time, it has forgotten the results by then.
   */
  private void send(UpstreamRecord upstream, List<String> handles) {
    if (sendingRule.admits(upstream)) {
      call(upstream, keepStoredAt(upstream, handles));
    } else if (sendingRule.millisUntilAdmitted(upstream, 0) <= MAX_DEFERRAL_MILLIS) {
      deferred.add(upstream.address(), handles);
    }
  }

  /** A result is lost with the start of the upstream that made it: the next one holds nothing. */
  private List<String> keepStoredAt(UpstreamRecord upstream, List<String> handles) {
    return handles.stream()
        .filter(
            handle ->
                incarnationOf.apply(handle).map(upstream.incarnationId()::equals).orElse(true))
        .toList();
  }

  private void call(UpstreamRecord upstream, List<String> handles) {
    if (handles.isEmpty()) {
      return;
    }
    sendingRule.recordSent(upstream);
    caller.call(upstream, protocol.encodeRelease(upstream, handles), new ReleaseListener(handles));
  }

  /** Tells of the room only once the upstream has answered, since only then it is there. */
  private final class ReleaseListener implements CallListener {

    private final List<String> handles;

    ReleaseListener(List<String> handles) {
      this.handles = handles;
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {}

    @Override
    public void onContent(ByteBuf content) {}

    @Override
    public void onComplete() {
      onReleased.accept(handles);
    }

    @Override
    public void onFailure(CallFailure failure) {}
  }
}
