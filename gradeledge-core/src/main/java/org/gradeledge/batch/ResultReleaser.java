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
import org.gradeledge.connection.CancellableCall;
import org.gradeledge.connection.ResponseBuffer;
import org.gradeledge.connection.UpstreamCaller;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.limit.SendLimiter;

/**
 * Releases results at the upstreams that store them, several in one call. Failed calls are not
 * retried, as upstreams expire results themselves. Confined to the event loop.
 */
final class ResultReleaser {

  /** Time after which an upstream that has not answered counts as silent. */
  static final long TIMEOUT_MILLIS = 2_000;

  private static final long COLLECTION_MILLIS = 8;
  private static final long DEFERRAL_MILLIS = 100;
  private static final int MAX_ANSWER_BYTES = 64 * 1024;
  private static final int OK = 200;

  /** Longer than the retention period of results at upstreams. */
  private static final double MAX_DEFERRAL_MILLIS = 30_000;

  private final EventLoop loop;
  private final UpstreamCaller caller;
  private final UpstreamRegistry upstreams;
  private final StageProtocol protocol;
  private final SendLimiter sendLimiter;
  private final Function<String, Optional<String>> incarnationOf;
  private final Consumer<Collection<String>> onReleased;
  private final CollectedHandles pending = new CollectedHandles(COLLECTION_MILLIS);
  private final CollectedHandles deferred = new CollectedHandles(DEFERRAL_MILLIS);

  ResultReleaser(
      EventLoop loop,
      UpstreamCaller caller,
      UpstreamRegistry upstreams,
      StageProtocol protocol,
      SendLimiter sendLimiter,
      Function<String, Optional<String>> incarnationOf,
      Consumer<Collection<String>> onReleased) {
    this.loop = loop;
    this.caller = caller;
    this.upstreams = upstreams;
    this.protocol = protocol;
    this.sendLimiter = sendLimiter;
    this.incarnationOf = incarnationOf;
    this.onReleased = onReleased;
  }

  void release(List<String> handles) {
    handles.forEach(handle -> pending.add(protocol.addressOf(handle), List.of(handle)));
  }

  /** Collects handles by upstream address and sends them a fixed delay after the first one. */
  private final class CollectedHandles {

    private final long delayMillis;
    private final Map<String, List<String>> byAddress = new HashMap<>();

    CollectedHandles(long delayMillis) {
      this.delayMillis = delayMillis;
    }

    void add(String address, List<String> handles) {
      if (byAddress.isEmpty()) {
        loop.schedule(this::flush, delayMillis, TimeUnit.MILLISECONDS);
      }
      byAddress.computeIfAbsent(address, key -> new ArrayList<>()).addAll(handles);
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
   * Sends the release or defers it while the send limiter does not admit a request. Handles are
   * dropped if the upstream will have expired the results before the release is admitted.
   */
  private void send(UpstreamRecord upstream, List<String> handles) {
    if (sendLimiter.admits(upstream)) {
      call(upstream, keepStoredAt(upstream, handles));
    } else if (sendLimiter.millisUntilAdmitted(upstream, 0) <= MAX_DEFERRAL_MILLIS) {
      deferred.add(upstream.address(), handles);
    }
  }

  /** Drops the handles of results that were lost with an earlier incarnation of the upstream. */
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
    sendLimiter.recordSent(upstream);
    CancellableCall call =
        caller.call(
            upstream, protocol.encodeRelease(upstream, handles), new ReleaseListener(handles));
    loop.schedule(call::cancel, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Reports the handles as released once the upstream has confirmed that. */
  private final class ReleaseListener implements CallListener {

    private final List<String> handles;
    private final ResponseBuffer body = new ResponseBuffer(MAX_ANSWER_BYTES);
    private int status;

    ReleaseListener(List<String> handles) {
      this.handles = handles;
    }

    @Override
    public void onHead(int responseStatus, HttpHeaders headers) {
      status = responseStatus;
    }

    @Override
    public void onContent(ByteBuf content) {
      body.add(content);
    }

    @Override
    public void onComplete() {
      if (status == OK) {
        onReleased.accept(handles);
      }
    }

    @Override
    public void onFailure(CallFailure failure) {}
  }
}
