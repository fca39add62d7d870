import java.io.IOException;
import java.util.List;

/** Clients send long queries that keep within the limits of the configuration. */
final class LongTarget extends Case {
  private static final int SHORT_REQUESTS = 200;
  private static final int LONG_REQUESTS = 20;
  private static final int MAX_HEADER_BYTES = 16_384;

  public static void main(String[] arguments) {
    new LongTarget().run(arguments[0]);
  }

  @Override
  boolean play(Fleet fleet, Record record) throws Exception {
    fleet.store.put("op", "config", Fleet.config(1,
        List.of(Fleet.route("/fonts/", "idempotent", 3_000, "plain", "")),
        List.of(Fleet.service("plain", ""))));
    for (int i = 0; i < 2; i++) {
      fleet.list(new Engine("i-plain-" + i, "plain", "zone-a", record));
    }
    fleet.startBoxes(3);
    int denied = 0;
    for (int i = 0; i < SHORT_REQUESTS + LONG_REQUESTS; i++) {
      boolean longOne = i % 11 == 0;
      int bytes = longOne ? trouble ? 6_000 : 3_000 : 20;
      String target = "/fonts/subset?text=" + "a".repeat(bytes);
      String request = Caller.request("GET", target, "r" + i,
          Fleet.KEY + "X-Deadline-Ms: 3000\r\n", "");
      if (request.length() > MAX_HEADER_BYTES) {
        throw new IOException("the request exceeds the limit of the configuration");
      }
      Http answer = Caller.send(fleet.boxes.get(i % 3).front, request, 4_000);
      int status = answer == null ? 0 : answer.status();
      boolean own = answer != null && answer.header("X-Response-Stamp").isEmpty();
      boolean counted = status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
      denied += own && counted ? 1 : 0;
      record.write("client r" + i + ", head of " + request.length() + " bytes of at most "
          + MAX_HEADER_BYTES + " -> " + (answer == null ? "closed" : answer.firstLine));
    }
    int total = SHORT_REQUESTS + LONG_REQUESTS;
    record.write(denied + " of " + total + " proper requests ended with a 3xx or 4xx of the system;"
        + " " + (5 + total / 500.0) + " are allowed");
    return denied > 5 + total / 500.0;
  }
}
