package org.gradeledge.standin.fleet;

import java.util.List;
import java.util.stream.Collectors;

/** Configuration of a small test deployment and the settings of its boxes, as JSON. */
final class FleetConfiguration {

  /** Path of streams that may be resumed. */
  static final String RESUMABLE_PATH = "/resume/";

  /** Path of each kind of route that callers request. */
  static final List<String> PATHS = List.of("/once/", "/again/", RESUMABLE_PATH, "/staged/");

  /** Path of the resumable streams of {@link #VERSIONS_SERVICE}. */
  static final String VERSIONS_PATH = "/versions/";

  /** Service whose engines run several software versions. */
  static final String VERSIONS_SERVICE = "versions";

  /** API key of the only client account. */
  static final String API_KEY = "a-key";

  private FleetConfiguration() {}

  static String configuration(int version, String additionalRoutes) {
    return configuration(version, additionalRoutes, "");
  }

  /** Returns a configuration with additional routes and accounts; each begins with a comma. */
  static String configuration(int version, String additionalRoutes, String additionalAccounts) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + route("/once/", "non_idempotent", "plain", "")
        + ","
        + route("/again/", "idempotent", "plain", "")
        + ","
        + route("/stream/", "streaming", "model", ",\"stream_resume\":false")
        + ","
        + route(RESUMABLE_PATH, "streaming", "model", ",\"stream_resume\":true")
        + ","
        + route("/staged/", "streaming", "model", STAGES)
        + ","
        + route(VERSIONS_PATH, "streaming", VERSIONS_SERVICE, ",\"stream_resume\":true")
        + additionalRoutes
        + "],\"services\":[{\"name\":\"plain\",\"max_connections\":64},"
        + "{\"name\":\""
        + VERSIONS_SERVICE
        + "\",\"max_connections\":64},"
        + "{\"name\":\"model\",\"max_connections\":64,\"engine\":{\"kv_cache_tokens\":100000}},"
        + "{\"name\":\"stage\",\"max_connections\":64,\"pieces\":{\"slots\":1,\"queue\":2,"
        + "\"batch\":4,\"call_ms\":20,\"item_ms\":1,\"headroom_mb\":10,\"handle_s\":4}}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":2000,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"a-tenant\",\"api_keys\":[\""
        + API_KEY
        + "\"],\"priority\":1}"
        + additionalAccounts
        + "]}";
  }

  private static final String STAGES =
      ",\"stages\":[{\"service\":\"stage\",\"after_revision\":[],\"size_bytes\":1000},"
          + "{\"service\":\"stage\",\"after_revision\":[0],\"size_bytes\":1000}]";

  static String route(String prefix, String kind, String service, String additionalFields) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"127.0.0.1\",\"path_prefix\":\"%s\",\"kind\":\"%s\","
            + "\"timeout_ms\":8000,\"target_latency_ms\":6000,\"priority\":2,\"service\":\"%s\","
            + "\"max_attempts\":2,\"public\":false%s}",
        prefix, prefix, kind, service, additionalFields);
  }

  static String settings(List<Integer> ports, String storeAddress, List<String> seeds) {
    String seedList = seeds.stream().map(seed -> '"' + seed + '"').collect(Collectors.joining(","));
    return String.format(
        "{\"node_name\":\"box-%d\",\"zone\":\"zone-a\",\"ip\":\"127.0.0.1\","
            + "\"listen_addresses\":{\"front\":\"127.0.0.1:%d\",\"ready\":\"127.0.0.1:%d\","
            + "\"control\":\"127.0.0.1:%d\"},\"internal_ports\":[%d,%d],\"seeds\":[%s],"
            + "\"peer_secret\":\"a secret of the fleet\","
            + "\"bounds\":{\"retry_budget_ratio\":0.2,\"budget_extra_retries\":60,"
            + "\"budget_window_s\":10,\"grace_s\":2,\"drain_ms\":2000},"
            + "\"platform\":{\"address\":\"%s\"}}",
        ports.get(0),
        ports.get(0),
        ports.get(1),
        ports.get(2),
        ports.get(3),
        ports.get(3),
        seedList,
        storeAddress);
  }
}
