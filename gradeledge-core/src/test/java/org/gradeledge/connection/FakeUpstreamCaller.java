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

/** Calls nobody; a test answers in the upstreams' place. */
public final class FakeUpstreamCaller implements UpstreamCaller {

  /** A call as it was made. */
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

    /** Returns where it went. */
    public UpstreamRecord target() {
      return target;
    }

    /** Returns its body as text. */
    public String body() {
      return new String(request.body(), StandardCharsets.UTF_8);
    }

    /** Returns its path. */
    public String uri() {
      return request.uri();
    }

    /** Returns whether it was given up. */
    public boolean isCancelled() {
      return cancelled;
    }

    /** Says that it was handed to an open connection; must be called on the event loop. */
    public void notifySent() {
      listener.onSent();
    }

    /** Answers it; must be called on the event loop. */
    public void respond(int status, String body) {
      listener.onHead(status, new DefaultHttpHeaders());
      listener.onContent(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
      listener.onComplete();
    }

    /** Breaks it off; must be called on the event loop. */
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

  /** Does nothing, as there are no connections. */
  @Override
  public void discardConnections(UpstreamRecord target) {}

  /** Does nothing, as there are no connections. */
  @Override
  public void retire(UpstreamRecord target) {}

  /** Does nothing, as there are no connections. */
  @Override
  public void backOff(UpstreamRecord target) {}

  /** Does nothing, as there are no connections. */
  @Override
  public void abort(UpstreamRecord target) {}

  /** Answers with what the test has set for the upstream; refused where it set nothing. */
  @Override
  public void probe(UpstreamRecord target, Consumer<LivenessResult> listener) {
    probed.add(target);
    LivenessResult proof =
        probeResults.getOrDefault(target.incarnationId(), LivenessResult.REFUSED);
    pendingProbes.add(() -> listener.accept(proof));
  }

  /** Sets what a probe of an upstream shows. */
  public void setProbeResult(UpstreamRecord target, LivenessResult proof) {
    probeResults.put(target.incarnationId(), proof);
  }

  /** Answers all probes; must be called on the event loop. */
  public void completeProbes() {
    for (Runnable proof = pendingProbes.poll(); proof != null; proof = pendingProbes.poll()) {
      proof.run();
    }
  }

  /** Returns the upstreams that were probed. */
  public Collection<UpstreamRecord> probed() {
    return probed;
  }

  /** Returns the next call, waiting for it. */
  public Call nextCall() throws InterruptedException {
    Call call = calls.poll(10, TimeUnit.SECONDS);
    if (call == null) {
      throw new AssertionError("no call was made");
    }
    return call;
  }

  /** Returns whether no call is waiting to be looked at. */
  public boolean hasNoCalls() {
    return calls.isEmpty();
  }
}
