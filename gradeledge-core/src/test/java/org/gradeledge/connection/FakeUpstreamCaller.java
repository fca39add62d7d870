package org.gradeledge.connection;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gradeledge.discovery.UpstreamRecord;

/** Records calls without sending them; tests provide the responses. */
public final class FakeUpstreamCaller implements UpstreamCaller {

  /** A recorded call. */
  public static final class Call implements CancellableCall {

    private final UpstreamRecord target;
    private final OutgoingRequest request;
    private final CallListener listener;
    private volatile boolean cancelled;

    Call(UpstreamRecord target, OutgoingRequest request, CallListener listener) {
      this.target = target;
      this.request = request;
      this.listener = listener;
    }

    /** Returns the upstream that was called. */
    public UpstreamRecord target() {
      return target;
    }

    /** Returns the request body as text. */
    public String body() {
      return new String(request.body(), StandardCharsets.UTF_8);
    }

    /** Returns the request path. */
    public String uri() {
      return request.uri();
    }

    /** Returns whether the call was cancelled. */
    public boolean isCancelled() {
      return cancelled;
    }

    /** Reports the call as sent; must be called on the event loop. */
    public void notifySent() {
      listener.onSent(new ConnectionUse(1, 1));
    }

    /** Completes the call with a response; must be called on the event loop. */
    public void respond(int status, String body) {
      listener.onHead(status, new DefaultHttpHeaders());
      listener.onContent(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
      listener.onComplete();
    }

    /** Sends the head and the beginning of a response; must be called on the event loop. */
    public void beginResponse(int status, String content) {
      listener.onHead(status, new DefaultHttpHeaders());
      listener.onContent(Unpooled.copiedBuffer(content, StandardCharsets.UTF_8));
    }

    /** Sends more of a response that has begun, unless the call was cancelled. */
    public void sendContent(String content) {
      if (!cancelled) {
        listener.onContent(Unpooled.copiedBuffer(content, StandardCharsets.UTF_8));
      }
    }

    /** Completes a response that has begun, unless the call was cancelled. */
    public void completeResponse() {
      if (!cancelled) {
        listener.onComplete();
      }
    }

    /** Sends the rest of a response that has begun, unless the call was cancelled. */
    public void continueResponse(String content) {
      sendContent(content);
      completeResponse();
    }

    /** Returns the value of a request header, or an empty string. */
    public String header(String name) {
      return request.headers().get(name, "");
    }

    /** Fails the call; must be called on the event loop. */
    public void fail(CallFailure failure) {
      listener.onFailure(failure);
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }

  private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
  private final Map<String, LivenessResult> probeResults = new ConcurrentHashMap<>();
  private final Queue<Runnable> pendingProbes = new ConcurrentLinkedQueue<>();
  private final Collection<UpstreamRecord> probed = new ConcurrentLinkedQueue<>();

  @Override
  public CancellableCall call(
      UpstreamRecord target, OutgoingRequest request, CallListener listener) {
    Call call = new Call(target, request, listener);
    calls.add(call);
    return call;
  }

  @Override
  public void discardConnections(UpstreamRecord target) {}

  @Override
  public void retire(UpstreamRecord target) {}

  @Override
  public void backOff(UpstreamRecord target) {}

  @Override
  public void abort(UpstreamRecord target) {}

  /**
   * Records a probe; its result is the one set for the upstream, or a refused connection by
   * default.
   */
  @Override
  public void probe(UpstreamRecord target, Consumer<LivenessResult> listener) {
    probed.add(target);
    LivenessResult result =
        probeResults.getOrDefault(target.incarnationId(), LivenessResult.REFUSED);
    pendingProbes.add(() -> listener.accept(result));
  }

  /** Sets the result of the probes of an upstream. */
  public void setProbeResult(UpstreamRecord target, LivenessResult result) {
    probeResults.put(target.incarnationId(), result);
  }

  /** Completes all pending probes; must be called on the event loop. */
  public void completeProbes() {
    for (Runnable probe = pendingProbes.poll(); probe != null; probe = pendingProbes.poll()) {
      probe.run();
    }
  }

  /** Returns the upstreams that were probed. */
  public Collection<UpstreamRecord> probed() {
    return probed;
  }

  /** Returns the next call; waits until there is one. */
  public Call nextCall() throws InterruptedException {
    Call call = calls.poll(10, TimeUnit.SECONDS);
    if (call == null) {
      throw new AssertionError("no call was made");
    }
    return call;
  }

  /** Returns whether no call is pending. */
  public boolean hasNoCalls() {
    return calls.isEmpty();
  }
}
