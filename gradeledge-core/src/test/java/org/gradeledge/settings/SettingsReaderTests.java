package org.gradeledge.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.gradeledge.document.Fault;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTests {

  @TempDir private Path directory;
  private String validSettings;

  @BeforeEach
  void writeSecret() throws IOException {
    Path secret = Files.writeString(directory.resolve("secret"), "sixteen characters or more");
    validSettings =
        """
        {"boxId":"box-1","availabilityZone":"sofia-1",
         "caller":{"host":"127.0.0.1","port":8080},
         "operator":{"host":"127.0.0.1","port":8081},
         "peer":{"listen":{"host":"127.0.0.1","port":8082},"secretFile":"SECRET"},
         "platform":{"table":"http://127.0.0.1:1","objects":"http://127.0.0.1:1",
                     "boxes":"http://127.0.0.1:1"},
         "operators":[{"name":"petya","tokenSha256":"DIGEST"}],
         "timing":{"heartbeatMs":100}}
        """
            .replace("SECRET", secret.toString())
            .replace("DIGEST", "0".repeat(64));
  }

  @Test
  void readsGoodSettingsWithDefaults() {
    BoxSettings settings = read(validSettings).get();
    assertThat(settings.timingOrDefault().heartbeat()).hasMillis(100);
    assertThat(settings.timingOrDefault().doubtBound()).hasMillis(2_000);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"port\":8080 | \"port\":70000 | /caller/port",
        "\"port\":8080 | \"port\":\"8080\" | /caller/port",
        "\"heartbeatMs\":100 | \"heartbeatMs\":0.5 | /timing/heartbeatMs",
        "\"heartbeatMs\":100 | \"heartbeatSeconds\":1 | /timing/heartbeatSeconds",
        "\"heartbeatMs\":100 | \"heartbeatMs\":5000 | /timing/membershipBoundMs",
        "\"boxId\":\"box-1\" | \"boxId\":\"Box 1\" | /boxId",
        "\"host\":\"127.0.0.1\",\"port\":8080 | \"host\":\"10.0.0.1\",\"port\":8080 | /caller",
        "\"operators\":[ | \"operator\":[ | ''"
      })
  void namesThePlaceOfAFault(String part, String replaced, String pointer) {
    List<Fault> faults = read(validSettings.replaceFirst(Pattern.quote(part), replaced)).getLeft();
    assertThat(faults).extracting(Fault::pointer).contains(pointer);
  }

  @Test
  void namesAMissingCertificateAndAMissingSecretAtOnce() throws IOException {
    Files.delete(directory.resolve("secret"));
    String text =
        validSettings.replace(
            "\"port\":8080",
            "\"port\":8080,\"tls\":{\"certificateFile\":\"/none.pem\",\"keyFile\":\"/none.key\"}");
    assertThat(read(text).getLeft())
        .extracting(Fault::pointer)
        .contains("/caller/tls/certificateFile", "/caller/tls/keyFile", "/peer/secretFile");
  }

  private static Either<List<Fault>, BoxSettings> read(String text) {
    return new SettingsReader().read(text.getBytes(StandardCharsets.UTF_8));
  }
}
