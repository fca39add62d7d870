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
import org.gradeledge.limit.SendingRule;

/**
 * Gives up results at the upstreams that hold them, many in one call. A call that fails is not
 * repeated: the upstream forgets results by itself. Confined to the event loop.
 */
final class ResultRelease {

  private static final long GATHER_MILLIS = 8;

  /** As long as calls wait for an upstream that names a limit: a few times a turn of it. */
  private static final long HELD_OFF_MILLIS = 100;

  private final EventLoop loop;
  private final UpstreamCaller caller;
  private final UpstreamRegistry upstreams;
  private final StageProtocol protocol;
  private final SendingRule sending;
  private final Function<String, Optional<String>> makerOf;
  private final Consumer<Collection<String>> onReleased;
  private final Map<String, List<String>> byAddress = new HashMap<>();
  private boolean scheduled;

  ResultRelease(
      EventLoop loop,
      UpstreamCaller caller,
      UpstreamRegistry upstreams,
      StageProtocol protocol,
      SendingRule sending,
      Function<String, Optional<String>> makerOf,
      Consumer<Collection<String>> onReleased) {
    this.loop = loop;
    this.caller = caller;
    this.upstreams = upstreams;
    this.protocol = protocol;
    this.sending = sending;
    this.makerOf = makerOf;
    this.onReleased = onReleased;
  }

  void release(List<String> handles) {
    if (!handles.isEmpty()) {
      flushAfter(GATHER_MILLIS);
    }
    handles.forEach(
        handle ->
            byAddress
                .computeIfAbsent(protocol.addressOf(handle), address -> new ArrayList<>())
                .add(handle));
  }

  private void flushAfter(long millis) {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::flush, millis, TimeUnit.MILLISECONDS);
    }
  }

  private void flush() {
    scheduled = false;
    Map<String, List<String>> flushed = Map.copyOf(byAddress);
    byAddress.clear();
    upstreams.all().stream()
        .filter(upstream -> flushed.containsKey(upstream.address()))
        .filter(upstream -> !upstreams.isEvacuated(upstream))
        .toList()
        .forEach(upstream -> release(upstream, flushed.get(upstream.address())));
  }

  /** A release is a request like others; one that has to wait gathers what comes meanwhile. */
  private void release(UpstreamRecord upstream, List<String> handles) {
    if (sending.admits(upstream)) {
      call(upstream, heldBy(upstream, handles));
    } else {
      byAddress.computeIfAbsent(upstream.address(), address -> new ArrayList<>()).addAll(handles);
      flushAfter(HELD_OFF_MILLIS);
    }
  }

  /** A result is lost with the start of the upstream that made it: the next one holds nothing. */
  private List<String> heldBy(UpstreamRecord upstream, List<String> handles) {
    return handles.stream()
        .filter(handle -> makerOf.apply(handle).map(upstream.start()::equals).orElse(true))
        .toList();
  }

  private void call(UpstreamRecord upstream, List<String> handles) {
    if (handles.isEmpty()) {
      return;
    }
    sending.sent(upstream);
    caller.call(upstream, protocol.encodeFree(upstream, handles), new Release(handles));
  }

  /** Tells of the room only once the upstream has answered, since only then it is there. */
  private final class Release implements CallListener {

    private final List<String> handles;

    Release(List<String> handles) {
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
