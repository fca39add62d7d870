/** Texts that cases share: the operator's configuration and the entries of engines. */
final class Setup {
  static final String HOST = "jepu9.example";
  static final String KEY = "9dnn2ctnfzs989anu6ws";

  private Setup() {}

  /** A configuration with one route of each kind to the service "ledger". */
  static String configuration() {
    return "{\"version\":7,\"routes\":["
        + route("once", "non_idempotent", "")
        + ","
        + route("again", "idempotent", "")
        + ","
        + route("stream", "streaming", ",\"stream_resume\":false,\"target_gap_ms\":200")
        + "],\"services\":[{\"name\":\"ledger\",\"health_path\":\"/health\","
        + "\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
  }

  private static String route(String name, String kind, String more) {
    return "{\"name\":\"r-" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/" + name
        + "/\",\"kind\":\"" + kind + "\",\"timeout_ms\":6000,\"target_latency_ms\":1000,"
        + "\"priority\":2,\"service\":\"ledger\",\"max_attempts\":2,\"stages\":[],"
        + "\"public\":false,\"sticky_sessions\":false" + more + "}";
  }

  /** The entry of an engine in the store. */
  static String entry(String address, String state, int sequence) {
    return "{\"service\":\"ledger\",\"address\":\"" + address + "\",\"zone\":\"hall-a\","
        + "\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
        + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + "}";
  }

  /** The head of a client's request. */
  static String requestHead(String method, String path, String id, long bodyBytes, int deadline) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + deadline + "\r\nAuthorization: Bearer " + KEY + "\r\n"
        + (bodyBytes > 0 ? "Content-Length: " + bodyBytes + "\r\n" : "") + "\r\n";
  }
}
