import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;

/** A change of the configuration adds a route with one stage, whose engines meet its objective. */
final class AddedStages extends Case {
  private static final int REQUESTS = 30;
  private static final int PIECES = 6;
  private static final int CALL_MILLIS = 200;
  private static final int ITEM_MILLIS = 9;
  private static final int OBJECTIVE_MILLIS = 430;
  private static final int DEADLINE_MILLIS = 8_000;

  /** An engine of a stage that works on one call at a time. */
  private static final class StageEngine extends Engine {
    private final Semaphore slot = new Semaphore(1);

    StageEngine(String id, Record record) throws IOException {
      super(id, "stage", "zone-a", record);
    }

    @Override
    @SuppressWarnings("unchecked")
    void run(Http request, OutputStream out, Socket socket) throws IOException {
      List<Object> items =
          (List<Object>) ((Map<String, Object>) Json.parse(request.text())).get("items");
      List<String> results = new ArrayList<>();
      try {
        slot.acquire();
        Thread.sleep(CALL_MILLIS + (long) items.size() * ITEM_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        slot.release();
      }
      for (Object ignored : items) {
        results.add("{\"handle\":\"" + address() + "/" + Long.toHexString(System.nanoTime())
            + results.size() + "\"}");
      }
      record.write("engine " + id + " has made " + items.size() + " pieces");
      send(out, request, 200, "", "{\"items\":[" + String.join(",", results) + "]}");
    }
  }

  /** A model engine that wants inputs and makes its first event after 20 ms. */
  private static final class ModelEngine extends Engine {
    ModelEngine(String id, Record record) throws IOException {
      super(id, "model", "zone-a", record);
    }

    @Override
    void run(Http request, OutputStream out, Socket socket) throws IOException {
      if (request.header("X-Inputs").isEmpty()) {
        send(out, request, 400, "X-Not-Run: 1\r\n", "");
        return;
      }
      record.write("engine " + id + " runs " + request.header("X-Request-Id"));
      sendStream(out, request, 1, 3, 20);
    }
  }

  public static void main(String[] arguments) {
    new AddedStages().run(arguments[0]);
  }

  @Override
  boolean play(Fleet fleet, Record record) throws Exception {
    List<String> services = List.of(Fleet.service("plain", ""), Fleet.service("model",
        ",\"engine\":{\"slots\":8,\"kv_cache_tokens\":90000,\"models\":[{\"name\":\"m\"}]}"),
        Fleet.service("stage", ",\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":19,\"call_ms\":"
            + CALL_MILLIS + ".0,\"item_ms\":" + ITEM_MILLIS
            + ".0,\"headroom_mb\":13.5,\"handle_s\":4.0,\"link_mbps\":10000}"));
    String plain = Fleet.route("/plain/", "idempotent", 3_000, "plain", "");
    String staged = Fleet.route("/brief/", "streaming", DEADLINE_MILLIS, "model",
        ",\"sticky_sessions\":true,\"stream_resume\":true,\"target_gap_ms\":500,\"stages\":["
            + "{\"service\":\"stage\",\"after_revision\":[],\"size_bytes\":8000}]")
        .replace("\"target_latency_ms\":1600", "\"target_latency_ms\":" + OBJECTIVE_MILLIS);
    fleet.store.put("op", "config", Fleet.config(1, List.of(plain), services));
    for (int i = 0; i < 2; i++) {
      fleet.list(new Engine("i-plain-" + i, "plain", "zone-a", record));
    }
    List<Engine> stages = new ArrayList<>();
    List<Engine> models = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      stages.add(new StageEngine("i-stage-" + i, record));
      models.add(new ModelEngine("i-model-" + i, record));
      fleet.list(stages.get(i));
      fleet.list(models.get(i));
    }
    fleet.startBoxes(3);
    if (trouble) {
      fleet.store.put("op", "config", Fleet.config(2, List.of(plain, staged), services));
      record.write("configuration 2 adds the route /brief/: one stage, objective "
          + OBJECTIVE_MILLIS + " ms, deadline " + DEADLINE_MILLIS + " ms");
      pause(4_000);
      record.write("by hand, without a box, the first event comes after "
          + firstEventByHand(stages.get(0), models.get(0)) + " ms");
    }
    int servedFirst = 0;
    int servedLater = 0;
    for (int i = 0; i < REQUESTS; i++) {
      servedFirst += send(fleet, record, i, "GET", "/plain/x", "first-" + i, "") ? 1 : 0;
      if (trouble) {
        servedLater += send(fleet, record, i, "POST", "/brief/x", "later-" + i,
            "X-Pieces: " + PIECES + "\r\nX-Piece-Key: 7c1e07a291bd\r\nX-Model: m\r\n"
                + "X-Token-Counts: 100,9\r\n") ? 1 : 0;
      }
      pause(300);
    }
    record.write("steady state: " + servedFirst + " of " + REQUESTS
        + " requests on the first route served, " + servedLater + " of "
        + (trouble ? REQUESTS : 0) + " on the route that was added later");
    return trouble ? servedLater * 4 < servedFirst : servedFirst * 4 < REQUESTS;
  }

  /** Does the work of one request at the engines themselves. */
  private static long firstEventByHand(Engine stage, Engine model) throws IOException {
    long start = System.nanoTime();
    StringBuilder items = new StringBuilder();
    for (int i = 0; i < PIECES; i++) {
      items.append(i == 0 ? "" : ",").append("{\"id\":\"by-hand\",\"stage\":0,\"piece\":").append(i)
          .append(",\"private_key\":\"7c1e07a291bd\"}");
    }
    String call = Caller.request("POST", "/stage-run", "by-hand",
        "X-Expect-Instance: " + stage.id + "\r\n", "{\"items\":[" + items + "]}");
    Http made = Caller.send(stage.listener.getLocalPort(), call, 5_000);
    List<String> handles = new ArrayList<>();
    for (String part : made.text().split("\"handle\":\"")) {
      if (part.contains("\"}")) {
        handles.add(part.substring(0, part.indexOf('"')));
      }
    }
    try (Socket socket = new Socket("127.0.0.1", model.listener.getLocalPort())) {
      socket.getOutputStream().write(Caller.request("POST", "/brief/x", "by-hand",
          "X-Expect-Instance: " + model.id + "\r\nX-Inputs: " + String.join(",", handles) + "\r\n",
          "").getBytes());
      Http.readHead(socket.getInputStream());
      Http.line(socket.getInputStream());
      Http.line(socket.getInputStream());
    }
    return (System.nanoTime() - start) / 1_000_000;
  }

  /** Sends a request, and again after a refusal as its Retry-After tells; returns if it was served. */
  private static boolean send(Fleet fleet, Record record, int number, String method, String path,
      String id, String headers) throws InterruptedException {
    for (int attempt = 1; attempt <= 2; attempt++) {
      String request = Caller.request(method, path, id + "-" + attempt,
          Fleet.KEY + "X-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n" + headers, "");
      try {
        int box = (number + attempt) % 3;
        Http answer = Caller.send(fleet.boxes.get(box).front, request, DEADLINE_MILLIS + 1_000);
        int status = answer == null ? 0 : answer.status();
        String retryAfter = answer == null ? "" : answer.header("Retry-After");
        record.write("client " + id + "-" + attempt + " at box " + box + " -> " + status
            + (retryAfter.isEmpty() ? "" : ", Retry-After " + retryAfter));
        if (status == 200) {
          return true;
        }
        pause(retryAfter.isEmpty() ? 100 : (long) (Double.parseDouble(retryAfter) * 1_000));
      } catch (IOException failure) {
        record.write("client " + id + "-" + attempt + " -> " + failure);
      }
    }
    return false;
  }
}
