import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Half of the engines of a service are replaced by ones with new weights, and clients go on with
 * the version that their last answer named.
 */
final class ExpectedVersion extends Case {
  private static final int SESSIONS = 45;
  private static final int LAST_TURN = 5;
  private static final int LAST_REQUESTS = 30;
  private static final int DEADLINE_MILLIS = 8_000;

  /** An engine that streams three events. */
  private static final class ModelEngine extends Engine {
    ModelEngine(String id, Record record, int version) throws IOException {
      super(id, "model", "zone-a", record);
      weightVersion = version;
    }

    @Override
    void run(Http request, OutputStream out, Socket socket) throws IOException {
      record.write("engine " + id + " (weights " + weightVersion + ") runs "
          + request.header("X-Request-Id"));
      sendStream(out, request, 1, 3, 5);
    }
  }

  public static void main(String[] arguments) {
    new ExpectedVersion().run(arguments[0]);
  }

  @Override
  boolean play(Fleet fleet, Record record) throws Exception {
    List<String> services = List.of(Fleet.service("plain", ""), Fleet.service("model",
        ",\"engine\":{\"slots\":8,\"kv_cache_tokens\":90000,\"models\":[{\"name\":\"m\"}]}"));
    String plain = Fleet.route("/plain/", "idempotent", 3_000, "plain", "");
    String model = Fleet.route("/model/", "streaming", DEADLINE_MILLIS, "model",
        ",\"sticky_sessions\":true,\"stream_resume\":true,\"target_gap_ms\":500");
    fleet.store.put("op", "config", Fleet.config(1, List.of(plain), services));
    for (int i = 0; i < 2; i++) {
      fleet.list(new Engine("i-plain-" + i, "plain", "zone-a", record));
    }
    List<Engine> first = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      first.add(new ModelEngine("i-model-" + i, record, 1));
      fleet.list(first.get(i));
    }
    fleet.startBoxes(3);
    fleet.store.put("op", "config", Fleet.config(2, List.of(plain, model), services));
    record.write("configuration 2 adds the route /model/");
    pause(4_000);
    int before = 0;
    for (int i = 0; i < 12; i++) {
      before += send(fleet, record, i % 3, "/model/x", "before-" + i, "") != null ? 1 : 0;
    }
    if (before < 12) {
      throw new IOException("the route is not served before the disruption: " + before);
    }
    if (trouble) {
      release(fleet, record, first);
    }
    pause(6_000);
    List<Http> firstAnswers = new ArrayList<>();
    for (int session = 0; session < SESSIONS; session++) {
      firstAnswers.add(send(fleet, record, session % 3, "/model/x", "s" + session + "-1", ""));
    }
    for (int turn = 2; turn <= LAST_TURN; turn++) {
      for (int session = 0; session < SESSIONS; session++) {
        goOn(fleet, record, session, turn, firstAnswers.get(session));
      }
    }
    pause(5_000);
    return check(fleet, record);
  }

  /** Replaces two of four engines, one each second; the new one starts first, the old one drains. */
  private static void release(Fleet fleet, Record record, List<Engine> first) throws Exception {
    for (int i = 0; i < 2; i++) {
      Engine old = first.get(i);
      fleet.list(new ModelEngine("i-model-new-" + i, record, 2));
      record.write("release: i-model-new-" + i + " with weights 2 starts, " + old.id + " drains");
      fleet.store.put("servers", old.id, old.row("draining"));
      new Daemon(() -> {
        try {
          Thread.sleep(3_000);
          fleet.store.remove("servers", old.id);
          old.close();
          record.write("release: " + old.id + " has ended");
        } catch (IOException | InterruptedException e) {
          record.write("release: " + e);
        }
      }).start();
      pause(1_000);
    }
  }

  /** A client goes on with the weights that the answer to its first request named. */
  private static void goOn(Fleet fleet, Record record, int session, int turn, Http first) {
    if (first != null) {
      String pinned = "X-Expect-Version: " + first.header("X-Weight-Versions") + "\r\n";
      send(fleet, record, session % 3, "/model/x", "s" + session + "-" + turn, pinned);
    }
  }

  private static boolean check(Fleet fleet, Record record) throws IOException {
    int servedFirst = 0;
    int servedLater = 0;
    for (int i = 0; i < LAST_REQUESTS; i++) {
      servedFirst += send(fleet, record, i % 3, "/plain/x", "last-plain-" + i, "") != null ? 1 : 0;
      servedLater += send(fleet, record, i % 3, "/model/x", "last-model-" + i, "") != null ? 1 : 0;
    }
    for (Engine engine : fleet.engines) {
      if (!engine.closed) {
        Http health = Caller.send(engine.listener.getLocalPort(),
            "GET /health HTTP/1.1\r\nHost: x\r\n\r\n", 2_000);
        record.write("asked directly, " + engine.id + " answers its health check with "
            + (health == null ? "nothing" : health.status()));
      }
    }
    record.write("steady state: " + servedFirst + " of " + LAST_REQUESTS
        + " requests on the first route served, " + servedLater + " of " + LAST_REQUESTS
        + " on the route that was added later");
    return servedLater * 4 < servedFirst;
  }

  /** Returns the answer if it is a success. */
  private static Http send(
      Fleet fleet, Record record, int box, String path, String id, String headers) {
    String request = Caller.request(path.startsWith("/plain") ? "GET" : "POST", path, id,
        Fleet.KEY + "X-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nX-Model: m\r\n"
            + "X-Token-Counts: 100,9\r\n" + headers, "");
    try {
      Http answer = Caller.send(fleet.boxes.get(box).front, request, DEADLINE_MILLIS + 1_000);
      record.write("client " + id + " at box " + box + " "
          + (headers.isEmpty() ? "" : headers.trim() + " ") + "-> "
          + (answer == null ? "closed" : answer.status()));
      return answer != null && answer.status() == 200 ? answer : null;
    } catch (IOException failure) {
      record.write("client " + id + " at box " + box + " -> " + failure);
      return null;
    }
  }
}
