import java.io.IOException;
import java.io.OutputStream;
import java.net.IDN;
import java.net.Socket;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A change of the configuration brings tenants whose names are not in ASCII. */
final class TenantNames extends Case {
  private static final int REQUESTS = 6;

  private final Map<String, String> tenantByRequest = new ConcurrentHashMap<>();
  private final AtomicInteger wrong = new AtomicInteger();

  /** An engine that keeps the data of each tenant apart by X-Tenant. */
  private final class TenantEngine extends Engine {
    private final Map<String, String> firstBodyByTenant = new ConcurrentHashMap<>();

    TenantEngine(String id, Record record) throws IOException {
      super(id, "plain", "zone-a", record);
    }

    @Override
    void run(Http request, OutputStream out, Socket socket) throws IOException {
      String requestId = request.header("X-Request-Id");
      String seen = utf8(request.header("X-Tenant"));
      String tenant = tenantByRequest.get(requestId);
      boolean named = spellings(tenant).contains(seen);
      if (!named) {
        wrong.incrementAndGet();
      }
      record.write("engine " + id + " runs " + requestId + " of tenant " + tenant + ": X-Tenant is "
          + seen + (named ? "" : ", NOT ITS TENANT"));
      String stored = firstBodyByTenant.computeIfAbsent(seen, name -> request.text());
      send(out, request, 200, stamp(request), stored);
    }
  }

  public static void main(String[] arguments) {
    new TenantNames().run(arguments[0]);
  }

  private static String utf8(String octets) {
    return new String(octets.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
  }

  /** Ways to write a name in a header; each of them would name the tenant. */
  private static Set<String> spellings(String tenant) {
    StringBuilder escaped = new StringBuilder();
    tenant.chars().forEach(c -> escaped.append(String.format("\\u%04x", c)));
    return Set.of(tenant, URLEncoder.encode(tenant, StandardCharsets.UTF_8) + " ",
        URLEncoder.encode(tenant, StandardCharsets.UTF_8).toLowerCase() + "  ",
        IDN.toASCII(tenant) + "   ", escaped + "    ").stream().map(String::trim)
        .collect(java.util.stream.Collectors.toSet());
  }

  @Override
  boolean play(Fleet fleet, Record record) throws Exception {
    List<String> routes = List.of(Fleet.route("/own/", "idempotent", 3_000, "plain", ""));
    List<String> services = List.of(Fleet.service("plain", ""));
    String config = Fleet.config(1, routes, services);
    fleet.store.put("op", "config", config);
    fleet.list(new TenantEngine("i-plain-0", record));
    fleet.startBoxes(3);
    Map<String, String> keys = new LinkedHashMap<>(Map.of("tenant-a", "key-of-a", "tenant-b", "key-of-b"));
    if (trouble) {
      keys.put("София", "key-of-c");
      keys.put("Варна", "key-of-d");
      String added = ",{\"name\":\"София\",\"api_keys\":[\"key-of-c\"],\"priority\":1},"
          + "{\"name\":\"Варна\",\"api_keys\":[\"key-of-d\"],\"priority\":1}]}";
      String changed = config.replace("\"version\":1,\"routes\"", "\"version\":2,\"routes\"");
      fleet.store.put("op", "config", changed.substring(0, changed.length() - 2) + added);
      record.write("configuration 2 adds the tenants София and Варна");
      pause(4_000);
    }
    for (int i = 0; i < REQUESTS; i++) {
      for (Map.Entry<String, String> each : keys.entrySet()) {
        String id = each.getValue() + "-" + i;
        tenantByRequest.put(id, each.getKey());
        String request = Caller.request("POST", "/own/x", id, "Authorization: Bearer "
            + each.getValue() + "\r\nX-Deadline-Ms: 3000\r\n", "data of " + each.getValue());
        Http answer = Caller.send(fleet.boxes.get(i % 3).front, request, 4_000);
        boolean foreign = answer != null && !answer.text().equals("data of " + each.getValue());
        record.write("client " + id + " of " + each.getKey() + " -> "
            + (answer == null ? "closed" : answer.status() + " " + answer.text())
            + (foreign ? " FOREIGN DATA" : ""));
      }
    }
    record.write(wrong.get() + " requests ran with an X-Tenant that names another tenant or none");
    return wrong.get() > 0;
  }
}
