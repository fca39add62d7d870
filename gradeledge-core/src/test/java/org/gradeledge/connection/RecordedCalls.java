package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import org.gradeledge.discovery.UpstreamRecord;

/** Makes calls, each to a path of its own, and records their outcomes. Thread-safe. */
public final class RecordedCalls {

  /** Header that correlates a response with its request. */
  public static final String ID_HEADER = "X-Request-Id";

  private final EventLoop loop;
  private final UpstreamCaller caller;
  private final Map<String, CancellableCall> calls = new ConcurrentHashMap<>();
  private final Map<String, LinkedBlockingQueue<String>> outcomes = new ConcurrentHashMap<>();

  /** Creates a record without calls. */
  public RecordedCalls(EventLoop loop, UpstreamCaller caller) {
    this.loop = loop;
    this.caller = caller;
  }

  /**
   * Starts a call.
   *
   * @param id id that the response must contain, if any
   */
  public void start(UpstreamRecord target, HttpMethod method, String path, Optional<String> id) {
    outcomes.put(path, new LinkedBlockingQueue<>());
    HttpHeaders headers = new DefaultHttpHeaders().set("Host", "a");
    id.ifPresent(value -> headers.set(ID_HEADER, value));
    OutgoingRequest request =
        new OutgoingRequest(
            method,
            path,
            headers,
            new byte[0],
            id.map(value -> new CorrelationHeader(ID_HEADER, value)),
            ConnectionReuse.ANY);
    loop.submit(() -> calls.put(path, caller.call(target, request, new Recorder(path))))
        .syncUninterruptibly();
  }

  /**
   * Waits for the outcome of a call: the status and the body, separated by a space, or the failure.
   */
  public String outcome(String path) throws InterruptedException {
    return outcomes.get(path).take();
  }

  /** Returns whether a call has an outcome. */
  public boolean hasOutcome(String path) {
    return !outcomes.get(path).isEmpty();
  }

  /** Cancels a call. */
  public void cancel(String path) {
    loop.submit(() -> calls.get(path).cancel()).syncUninterruptibly();
  }

  private final class Recorder implements CallListener {

    private final String path;
    private final StringBuilder body = new StringBuilder();
    private int status;

    Recorder(String path) {
      this.path = path;
    }

    @Override
    public void onHead(int responseStatus, HttpHeaders headers) {
      status = responseStatus;
    }

    @Override
    public void onContent(ByteBuf content) {
      body.append(content.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onComplete() {
      outcomes.get(path).add(status + " " + body);
    }

    @Override
    public void onFailure(CallFailure failure) {
      outcomes.get(path).add(failure.name());
    }
  }
}
