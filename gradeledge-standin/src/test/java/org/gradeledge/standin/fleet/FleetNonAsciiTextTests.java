package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests text outside ASCII that passes between message heads and JSON, with raw bytes. */
@Timeout(60)
class FleetNonAsciiTextTests {

  private static final int READ_TIMEOUT_MILLIS = 30_000;
  private static final String SOFIA = account("София", "key-of-sofia");
  private static final String VARNA = account("Варна", "ключ");

  private final Fleet fleet = new Fleet();
  private FleetEngine plain;
  private FleetEngine stage;

  @BeforeEach
  void start() throws Exception {
    plain = fleet.addEngine("plain", EngineKind.PLAIN);
    stage = fleet.addEngine("stage", EngineKind.STAGE);
    fleet.addEngine("model", EngineKind.STREAM);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against names of accounts that reach upstreams as question marks, two as one.
  @Test
  void upstreamsReceiveAccountNamesInUtf8() throws Exception {
    startBox(2, "", SOFIA + VARNA);

    assertThat(get("/again/1", "key-of-sofia")).startsWith("HTTP/1.1 200");
    assertThat(get("/again/2", "ключ")).startsWith("HTTP/1.1 200");

    assertThat(plain.executedRequests())
        .extracting(request -> request.header("X-Tenant"))
        .containsExactly("София", "Варна");
  }

  // Guards against accounts that are named wrongly since a header cannot carry their names.
  @ParameterizedTest
  @ValueSource(strings = {"a\\r\\nX-Other: b", "a\\u0000b", " a", "a ", "", "\\ud800"})
  void accountThatNoHeaderCanNameIsRefused(String name) throws Exception {
    startBox(2, "", account(name, "unnamed-key"));

    assertThat(get("/again/1", "unnamed-key"))
        .startsWith("HTTP/1.1 503")
        .contains("cannot be sent in a header");
    assertThat(get("/again/2", Fleet.API_KEY)).startsWith("HTTP/1.1 200");
    assertThat(plain.executedRequests()).hasSize(1);
    assertThat(fleet.countLogged(0, "account-not-forwardable")).isEqualTo(1);
  }

  // Guards against paths that reach upstreams changed, and routes that they never match.
  @Test
  void pathOutsideAsciiReachesUpstreamUnchanged() throws Exception {
    startBox(2, "," + FleetConfiguration.route("/град/", "idempotent", "plain", ""), "");

    assertThat(get("/град/ул", Fleet.API_KEY)).startsWith("HTTP/1.1 200");

    assertThat(plain.executedRequests())
        .extracting(request -> utf8(request.path()))
        .containsExactly("/град/ул");
  }

  // Guards against paths that are not UTF-8 and reach upstreams as other bytes.
  @Test
  void pathThatIsNoUtf8ReachesUpstreamUnchanged() throws Exception {
    startBox(2, "", "");
    String path = "/again/\u00ff\u00e9?\u0080";

    byte[] request = request(path, Fleet.API_KEY, "").getBytes(StandardCharsets.ISO_8859_1);

    assertThat(exchange(request)).startsWith("HTTP/1.1 200");
    assertThat(plain.executedRequests()).extracting(ReceivedRequest::path).containsExactly(path);
  }

  // Guards against stage work that is asked for under another id or key than the caller's.
  @Test
  void stageWorkHasIdAndKeyOfTheCaller() throws Exception {
    startBox(2, "", "");

    String response = staged("X-Request-Id: заявка\r\nX-Piece-Key: тайна\r\n", "/staged/x");

    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(stage.executedRequests().get(0).body())
        .contains("\"id\":\"заявка\"")
        .contains("\"private_key\":\"тайна\"");
  }

  // Guards against two keys of pieces that become one, as JSON cannot carry the bytes of one.
  @ParameterizedTest
  @ValueSource(strings = {"X-Piece-Key: \u00e9\r\n", "X-Request-Id: \u00e9\r\n"})
  void stageWorkWithKeysThatAreNoUtf8IsRejected(String header) throws Exception {
    startBox(2, "", "");
    byte[] request =
        request("/staged/x", Fleet.API_KEY, "X-Pieces: 1,2\r\n" + header)
            .getBytes(StandardCharsets.ISO_8859_1);

    assertThat(exchange(request)).startsWith("HTTP/1.1 400").contains("UTF-8");
    assertThat(stage.executedRequests()).isEmpty();
    assertThat(fleet.hasLogged(0, "request-unreadable")).isTrue();
  }

  private void startBox(int version, String routes, String accounts) throws Exception {
    fleet.configure(version, routes, accounts);
    fleet.startBoxes(1);
  }

  private static String account(String name, String key) {
    return ",{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"],\"priority\":1}";
  }

  private String get(String path, String key) throws IOException {
    return exchange(request(path, key, "").getBytes(StandardCharsets.UTF_8));
  }

  private String staged(String headers, String path) throws IOException {
    String request = request(path, Fleet.API_KEY, "X-Pieces: 1,2\r\n" + headers);
    return exchange(request.getBytes(StandardCharsets.UTF_8));
  }

  private static String request(String path, String key, String headers) {
    return String.join(
        "\r\n",
        List.of(
            "GET " + path + " HTTP/1.1",
            "Host: 127.0.0.1",
            "Connection: close",
            "X-Deadline-Ms: 9000",
            "Authorization: Bearer " + key,
            headers + "\r\n"));
  }

  private String exchange(byte[] request) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", fleet.callerPort(0))) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request);
      socket.getOutputStream().flush();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static String utf8(String octets) {
    return new String(octets.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
  }
}
