package org.gradeledge.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import javax.net.ssl.SSLException;
import org.gradeledge.node.BoxPorts;
import org.gradeledge.node.GradeledgeBox;
import org.gradeledge.settings.SettingsReader;
import org.gradeledge.standin.platform.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.netty.http.Http2SslContextSpec;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.client.HttpClient;

class TlsTests {

  @TempDir private Path directory;
  private final PlatformStandIn platform = new PlatformStandIn(0, 0);
  private final List<GradeledgeBox> boxes = new ArrayList<>();
  private final List<BoxPorts> ports = new ArrayList<>();
  private TestCertificate certificate;

  @BeforeEach
  void start() throws Exception {
    certificate = TestCertificate.make(directory);
    Path secret = Files.writeString(directory.resolve("secret"), "a secret that all boxes share");
    for (int i = 1; i <= 2; i++) {
      byte[] text = TestSettings.text("box-" + i, platform.port(), secret);
      ObjectNode settings = (ObjectNode) StandInHttp.parseJson(text);
      for (ObjectNode listen :
          List.of(
              (ObjectNode) settings.path("caller"),
              (ObjectNode) settings.path("operator"),
              (ObjectNode) settings.path("peer").path("listen"))) {
        listen
            .putObject("tls")
            .put("certificateFile", certificate.certificateFile().toString())
            .put("keyFile", certificate.keyFile().toString());
      }
      GradeledgeBox box =
          new GradeledgeBox(
              new SettingsReader()
                  .read(StandInHttp.toJson(settings))
                  .getOrElseThrow(faults -> new AssertionError(faults)));
      boxes.add(box);
      ports.add(box.start().block());
    }
    Deployment.await(() -> boxes.stream().allMatch(GradeledgeBox::isReady));
  }

  @AfterEach
  void stop() {
    boxes.forEach(GradeledgeBox::close);
    platform.close();
  }

  @Test
  void speaksTlsToCallersOverBothVersionsOfHttp() {
    HttpClient second =
        HttpClient.newConnection()
            .protocol(HttpProtocol.H2)
            .secure(
                spec ->
                    spec.sslContext(
                        Http2SslContextSpec.forClient()
                            .configure(
                                builder ->
                                    builder.trustManager(certificate.certificateFile().toFile()))));
    String uri = "https://127.0.0.1:" + ports.get(0).callerPort() + "/readyz";
    for (HttpClient client : List.of(trusting(), second)) {
      assertThat(client.get().uri(uri).response().block().status().code()).isEqualTo(200);
    }
  }

  @Test
  void speaksTlsToOperatorsAndBetweenBoxes() {
    Deployment.await(() -> boxesOf(0).split("\"serving\":true", -1).length == 3);
    assertThat(boxesOf(1)).contains("box-1", "box-2");
  }

  @Test
  void doesNotAnswerPlainTextOnATlsPort() {
    String uri = "http://127.0.0.1:" + ports.get(0).callerPort() + "/healthz";
    assertThatThrownBy(() -> HttpClient.newConnection().get().uri(uri).response().block())
        .isInstanceOf(Exception.class);
  }

  private String boxesOf(int box) {
    return trusting()
        .headers(headers -> headers.set("Authorization", "Bearer " + TestSettings.OPERATOR_TOKEN))
        .get()
        .uri("https://127.0.0.1:" + ports.get(box).operatorPort() + "/v1/boxes")
        .responseSingle((response, content) -> content.asString())
        .block();
  }

  private HttpClient trusting() {
    try {
      SslContext context =
          SslContextBuilder.forClient()
              .trustManager(certificate.certificateFile().toFile())
              .build();
      return HttpClient.newConnection().secure(spec -> spec.sslContext(context));
    } catch (SSLException e) {
      throw new IllegalStateException(e);
    }
  }
}
